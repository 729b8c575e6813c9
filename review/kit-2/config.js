/** The operator's configuration of the scripts: one plain service, three tenants. */
export const HOST = "kilns.example";

export function route(name, kind, service, overrides = {}) {
    return {
        Name: name,
        Host: HOST,
        PathPrefix: `/${name}/`,
        Kind: kind,
        TimeoutMs: 1000,
        SloMs: 200,
        Priority: 1,
        Service: service,
        Attempts: 1,
        Public: false,
        Sticky: false,
        Resumable: false,
        ...overrides,
    };
}

export function config(version, routes, tenants) {
    return {
        Version: version,
        Routes: routes,
        Services: [{ Name: "desk", HealthPath: "/healthz", MaxConns: 96, Protocol: "h1", Tls: false }],
        Limits: { HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
        Tenants: tenants.map(([name, ...keys]) => ({ Name: name, ApiKeys: keys, Priority: 1 })),
    };
}
