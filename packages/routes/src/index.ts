export { warmAt } from "./cold-period.js";
export {
    type CallerLimits,
    type Deployment,
    type EndpointEntry,
    EndpointState,
    type EngineCfg,
    type Route,
    RouteKind,
    type ServiceCfg,
    type WeightedService,
    type WorkspaceCfg,
} from "./deployment.js";
export {
    type EndpointListError,
    type EndpointListResult,
    type InvalidEndpoint,
    readEndpoints,
    writeEndpoints,
} from "./endpoint-list.js";
export {
    applyEvacuationChange,
    type HallEvacuationChange,
    type HallOrders,
    NO_EVACUATIONS,
    replaceEvacuations,
} from "./evacuation.js";
export { compareLives, type Life, LifeOrder, nameOfLife } from "./incarnation.js";
export {
    type DepartedEndpoint,
    EMPTY_REGISTRY,
    type Registered,
    type Registry,
    type RegistryChange,
} from "./registry-state.js";
export {
    adoptEndpoints,
    applyChanges,
    LAPSE_GRACE_MS,
    meetLife,
    replaceAll,
    settle,
    storeAnswered,
    storeFailed,
    storeRestored,
} from "./registry.js";
export { pickService, RouteTable } from "./route-table.js";
export { SETTLE_MS } from "./store-restore.js";
