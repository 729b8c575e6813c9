/**
 * Looks up a call's route, service and workspace in a deployment.
 *
 * @module
 */
import type { Deployment, Route, ServiceCfg, WorkspaceCfg } from "./deployment.js";

/** An index of a deployment, built once per version. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Route[]>();
    private readonly servicesByName: ReadonlyMap<string, ServiceCfg>;
    private readonly workspacesByKey: ReadonlyMap<string, WorkspaceCfg>;

    private constructor(readonly deployment: Deployment) {
        for (const route of deployment.routes) {
            const host = route.host.toLowerCase();
            const routes = this.routesByHost.get(host);
            if (routes) routes.push(route);
            else this.routesByHost.set(host, [route]);
        }
        for (const routes of this.routesByHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
        this.servicesByName = new Map(deployment.services.map(service => [service.name, service]));
        const workspaces = deployment.workspaces ?? [];
        this.workspacesByKey = new Map(
            workspaces.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)),
        );
    }

    /**
     * Builds the index of a deployment.
     *
     * @example
     * ```ts
     * RouteTable.of(deployment).find("api.example", "/drafts/7?page=2")?.name;
     * ```
     */
    static of(deployment: Deployment): RouteTable {
        return new RouteTable(deployment);
    }

    get version(): number {
        return this.deployment.version;
    }

    /** Whether calls need a key unless their route is public. */
    get requiresKeys(): boolean {
        return this.deployment.workspaces !== undefined;
    }

    /** Finds the route of the host name whose prefix is the longest match of the target's path. A port in `host` is ignored. */
    findRoute(host: string, target: string): Route | undefined {
        const hostName = host.replace(/:\d+$/, "").toLowerCase();
        const path = target.split("?", 1)[0]!;
        return this.routesByHost.get(hostName)?.find(route => path.startsWith(route.prefix));
    }

    service(name: string): ServiceCfg | undefined {
        return this.servicesByName.get(name);
    }

    workspaceOf(key: string): WorkspaceCfg | undefined {
        return this.workspacesByKey.get(key);
    }
}

/**
 * Picks the service of a call by the route's weights; undefined if no service has a positive weight.
 *
 * @param draw A random number, uniformly distributed in [0, 1).
 *
 * @example
 * ```ts
 * pickService([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], 0.95); // "b"
 * ```
 */
export function pickService(services: Route["services"], draw: number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = draw * total;
    for (const { service, weight } of services) {
        remaining -= weight;
        if (remaining < 0) return service;
    }
    return undefined;
}
