export {
    type ConfigError,
    type ConfigResult,
    type ConfigSources,
    describeConfigError,
    type HostCfg,
    printConfig,
    readConfig,
} from "./config.js";
export { type Daemon, startDaemon } from "./daemon.js";
export { Directory, hashSecret } from "./directory.js";
export { type Gateway, startGateway } from "./gateway.js";
export { createLog, formatRecord, type Log } from "./log.js";
export { Metrics, Timing } from "./metrics.js";
export { isOnce, plainModel } from "./plain.js";
export { type FeedDeps, SettingsFeed } from "./settings-feed.js";
export { type EditRequest, type EditResult, SettingsStore } from "./settings-store.js";
