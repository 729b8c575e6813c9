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
    type BadEndpoint,
    type EndpointListError,
    type EndpointListResult,
    readEndpoints,
    writeEndpoints,
} from "./endpoint-list.js";
export { type HallChange, type HallOrders, NO_ORDERS, orderHall, replaceOrders } from "./evacuation.js";
export { compareLives, type Life, LifeOrder, nameOfLife } from "./life.js";
export {
    adoptEndpoints,
    applyChanges,
    type Departed,
    EMPTY_REGISTRY,
    expireLapsed,
    LAPSE_GRACE_MS,
    meetLife,
    type Registered,
    type Registry,
    type RegistryChange,
    replaceAll,
    storeAnswered,
    storeFailed,
} from "./registry.js";
export { pickService, RouteTable } from "./route-table.js";
export { warmAt } from "./warmth.js";
