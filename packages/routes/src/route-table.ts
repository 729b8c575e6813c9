/**
 * Finds what a deployment says of one call: its route, the service of its turn, its workspace.
 *
 * @module
 */
import type { Deployment, Route, ServiceCfg, WorkspaceCfg } from "./deployment.js";

/** A deployment, indexed for look-ups; built once for each version. */
export class RouteTable {
    private readonly byHost = new Map<string, Route[]>();
    private readonly services: ReadonlyMap<string, ServiceCfg>;
    private readonly byKey: ReadonlyMap<string, WorkspaceCfg>;

    private constructor(readonly deployment: Deployment) {
        for (const route of deployment.routes) {
            const host = route.host.toLowerCase();
            const routes = this.byHost.get(host);
            if (routes) routes.push(route);
            else this.byHost.set(host, [route]);
        }
        for (const routes of this.byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
        this.services = new Map(deployment.services.map(service => [service.name, service]));
        const workspaces = deployment.workspaces ?? [];
        this.byKey = new Map(workspaces.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)));
    }

    /**
     * A table of one version.
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

    /** Whether calls must carry a key unless their route is public. */
    get usesKeys(): boolean {
        return this.deployment.workspaces !== undefined;
    }

    /** The route with the longest prefix of the target's path among those of the host; a port in `host` is ignored. */
    find(host: string, target: string): Route | undefined {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        const path = target.split("?", 1)[0]!;
        return this.byHost.get(name)?.find(route => path.startsWith(route.prefix));
    }

    service(name: string): ServiceCfg | undefined {
        return this.services.get(name);
    }

    workspaceOf(key: string): WorkspaceCfg | undefined {
        return this.byKey.get(key);
    }
}

/**
 * The service of a call, by the route's weights.
 *
 * @param draw Evenly distributed from 0 up to 1.
 *
 * @example
 * ```ts
 * pickService([{ service: "a", weight: 90 }, { service: "b", weight: 10 }], 0.95); // "b"
 * ```
 */
export function pickService(services: Route["services"], draw: number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let left = draw * total;
    for (const { service, weight } of services) {
        left -= weight;
        if (left < 0) return service;
    }
    return undefined;
}
