export { warmTimeOf } from "./cold-period.js";
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
    type HallEvacuations,
    NO_EVACUATIONS,
    replaceEvacuations,
} from "./evacuation.js";
export { compareIncarnations, type IncarnationId, incarnationOf, IncarnationOrder } from "./incarnation.js";
export {
    type DepartedEndpoint,
    EMPTY_REGISTRY,
    type RegisteredEndpoint,
    type Registry,
    type RegistryChange,
} from "./registry-state.js";
export {
    adoptPeerEndpoints,
    applyChanges,
    expireGracePeriods,
    LAPSE_GRACE_MS,
    learnIncarnation,
    replaceRegistrations,
    storeAnswered,
    storeFailed,
    storeRestored,
} from "./registry.js";
export { pickService, RouteTable } from "./route-table.js";
export { RESTORE_GRACE_MS } from "./store-restore.js";
