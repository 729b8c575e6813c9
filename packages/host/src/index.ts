export { runsAtMostOnce } from "./calls/plain-service.js";
export { type Daemon, startDaemon } from "./daemon.js";
export { plainModel } from "./endpoints/plain-model.js";
export { type Gateway, startGateway } from "./gateway.js";
export {
    type ConfigError,
    type ConfigResult,
    type ConfigSources,
    describeConfigError,
    type HostCfg,
    printConfig,
    readConfig,
} from "./runtime/config.js";
export { createLog, formatRecord, type Log } from "./runtime/log.js";
export { watchLoopDelay } from "./runtime/loop-delay.js";
export { Metrics, TimeHistogram } from "./runtime/metrics.js";
export { Directory, hashSecret } from "./store/directory.js";
export { SettingsFeed, type SettingsFeedDeps } from "./store/settings-feed.js";
export { type EditRequest, type EditResult, SettingsStore } from "./store/settings-store.js";
