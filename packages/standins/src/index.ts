export { type CallerRequest, type CallerResult, callOnce } from "./caller.js";
export { ENGINE, type EngineCfg, type EngineJob, EngineModel } from "./engine-model.js";
export { type EngineFault, EngineServer, type EngineServerCfg } from "./engine-server.js";
export { HostListServer, type ListedHost } from "./host-list-server.js";
export { KvServer } from "./kv-server.js";
export {
    type ClusterHost,
    type LocalCluster,
    type LocalClusterCfg,
    startLocalCluster,
    waitUntil,
} from "./local-cluster.js";
export { type PlainFault, PlainServer } from "./plain-server.js";
export { type RandomGenerator, uniformFloat64, xoroshiro128plus } from "./random.js";
export { type Arrival, CLAYHOLLOW, type Deployment, DEPLOYMENTS, generateTraffic, KIGALI } from "./traffic.js";
