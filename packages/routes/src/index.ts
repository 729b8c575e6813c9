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
export { type EndpointListError, type EndpointListResult, readEndpoints, writeEndpoints } from "./endpoint-list.js";
export {
    adoptEndpoints,
    applyChanges,
    type Departed,
    EMPTY_REGISTRY,
    expireLapsed,
    LAPSE_GRACE_MS,
    type Registered,
    type Registry,
    type RegistryChange,
    replaceAll,
    storeAnswered,
    storeFailed,
} from "./registry.js";
export { pickService, RouteTable } from "./route-table.js";
