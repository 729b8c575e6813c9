/**
 * The operators' HTTP server: health, metrics, quarantine, and the settings with their audit trail.
 *
 * @module
 */
import {
    applicablePaths,
    type AuditEntry,
    diffTrees,
    EMPTY_TREE,
    explainValue,
    formatTree,
    INHERITED_KEYS,
    type InheritedKey,
    replayAuditTrail,
    type Tree,
} from "@drumpaddle/settings";
import { type Static, Type } from "@sinclair/typebox";
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import type { Host } from "../calls/host.js";
import { LingeringClose } from "../runtime/lingering-close.js";
import { hashSecret, type Role } from "../store/directory.js";
import type { EditResult } from "../store/settings-store.js";
import { addQuarantineRoutes } from "./quarantine-api.js";

const EditBody = Type.Object({
    editId: Type.String({ pattern: "^[A-Za-z0-9-]{8,64}$" }),
    why: Type.String({ maxLength: 500 }),
    onlyAt: Type.Optional(Type.Integer({ minimum: 0 })),
    changes: Type.Array(
        Type.Object({
            path: Type.String(),
            key: Type.String(),
            before: Type.Optional(Type.String()),
            after: Type.Optional(Type.String()),
        }),
        { minItems: 1, maxItems: 50_000 },
    ),
});

const PlaceQuery = Type.Object({
    key: Type.Optional(Type.String()),
    workspace: Type.Optional(Type.String()),
    service: Type.Optional(Type.String()),
    hall: Type.Optional(Type.String()),
});

const STATUS_BY_RESULT: { readonly [K in EditResult["kind"]]: number } = {
    accepted: 200,
    noChange: 200,
    conflict: 409,
    invalid: 422,
    away: 503,
    unknown: 504,
};

/** Maximum size of an edit's body, in bytes; a whole tree of settings is smaller. */
const MAX_EDIT_BYTES = 16_000_000;

/** Creates the operators' server, which does not listen yet. */
export function createOperatorsServer(host: Host, tls: { cert: string; key: string } | undefined): FastifyInstance {
    const app = Fastify({
        bodyLimit: MAX_EDIT_BYTES,
        forceCloseConnections: true,
        ...(tls ? { https: tls } as object : {}),
    });
    LingeringClose.of(app.server, host.cfg["callers.linger"]);
    addHealthRoutes(host, app);
    addQuarantineRoutes(app, host.guard, (req, reply, role) => authorize(host, req, reply, role) !== undefined);
    addSettingsRoutes(host, app);
    addAuditRoutes(host, app);
    return app;
}

function addHealthRoutes(host: Host, app: FastifyInstance): void {
    app.get("/healthz", () => ({ ok: true }));
    app.get("/readyz", (_req, reply) => {
        const why = host.openRequests.stopping ? "stopping" : host.feed.directory ? undefined : "no settings yet";
        return reply.code(why === undefined ? 200 : 503).send({ ready: why === undefined, why });
    });
    app.get("/metrics", async (_req, reply) => {
        host.metrics.waiting.set(host.engines.view.waiting.length + host.plain.view.waiting.length);
        return reply.type("text/plain; version=0.0.4").send(await host.metrics.text());
    });
}

interface Operator {
    readonly name: string;
    readonly role: Role;
}

/** The operator whose token a request carries. The bootstrap token is valid only while the settings name no operator. */
function operatorOf(host: Host, req: FastifyRequest): Operator | undefined {
    const token = /^Bearer (\S+)$/.exec(req.headers.authorization ?? "")?.[1];
    if (token === undefined) return undefined;
    const directory = host.feed.directory;
    const known = directory?.operatorOf(token, Date.now());
    if (known) return known;
    const bootstrap = host.cfg["operators.bootstrap-hash"];
    const acceptsBootstrap = bootstrap !== undefined && directory?.hasOperators !== true;
    return acceptsBootstrap && hashSecret(token) === bootstrap ? { name: "bootstrap", role: "edit" } : undefined;
}

/** Returns the operator of a request if it has the required role; otherwise answers 401 or 403 and returns undefined. */
function authorize(host: Host, req: FastifyRequest, reply: FastifyReply, role: Role): Operator | undefined {
    const operator = operatorOf(host, req);
    if (!operator) void reply.code(401).send({ kind: "unauthorized" });
    else if (role === "edit" && operator.role !== "edit") {
        void reply.code(403).send({ kind: "forbidden", role: operator.role });
    }
    else return operator;
    return undefined;
}

function treeOf(host: Host): Tree {
    return host.feed.inForce?.tree ?? EMPTY_TREE;
}

function addSettingsRoutes(host: Host, app: FastifyInstance): void {
    app.get("/settings", (req, reply) => {
        if (!authorize(host, req, reply, "read")) return reply;
        const head = host.feed.inForce?.snapshot.head;
        return { version: head?.version ?? 0, hash: head?.hash, tree: treeOf(host), ini: formatTree(treeOf(host)) };
    });
    app.get<{ Querystring: Static<typeof PlaceQuery> }>(
        "/settings/explain",
        { schema: { querystring: PlaceQuery } },
        (req, reply) => {
            if (!authorize(host, req, reply, "read")) return reply;
            const { key, ...place } = req.query;
            if (key !== undefined && !Object.hasOwn(INHERITED_KEYS, key)) {
                return reply.code(422).send({
                    kind: "unknownKey",
                    key,
                });
            }
            const keys = key === undefined ? Object.keys(INHERITED_KEYS) as InheritedKey[] : [key as InheritedKey];
            return {
                lineage: applicablePaths(place),
                values: keys.map(name => explainValue(treeOf(host), name, place)),
            };
        },
    );
    app.get("/status", (req, reply) => {
        if (!authorize(host, req, reply, "read")) return reply;
        return statusOf(host);
    });
    app.post<{ Body: Static<typeof EditBody> }>(
        "/settings/edits",
        { schema: { body: EditBody } },
        async (req, reply) => {
            const operator = authorize(host, req, reply, "edit");
            if (!operator) return reply;
            const { editId, why, onlyAt, changes } = req.body;
            const result = await host.store.edit(
                { editId, why, onlyAt, changes, who: operator.name, at: Date.now() },
                host.feed.inForce,
                host.signal,
            );
            if (result.kind === "accepted") {
                if (result.snapshot) host.feed.offer(result.snapshot, "edit");
                else await host.feed.refresh();
            }
            host.log.info({
                edit: editId,
                who: operator.name,
                result: result.kind,
                version: "version" in result ? result.version : undefined,
            }, "settings_edit");
            return reply.code(STATUS_BY_RESULT[result.kind]).send({ ...result, snapshot: undefined });
        },
    );
    app.get<{ Params: { id: string } }>("/settings/outcome/:id", async (req, reply) => {
        if (!authorize(host, req, reply, "read")) return reply;
        const found = await host.store.outcome(req.params.id, host.signal);
        if (!found.ok) return reply.code(503).send({ kind: "away" });
        return found.value === undefined ? { kind: "notAccepted" } : { kind: "accepted", version: found.value };
    });
}

/** The answer of `/status`: the state of this host, and what it knows of its peers and endpoints. */
export function statusOf(host: Host): object {
    const inForce = host.feed.inForce;
    return {
        host: host.cfg["host.name"],
        hall: host.cfg["host.hall"],
        capacity: host.peers?.capacity,
        version: inForce?.snapshot.head.version ?? 0,
        since: inForce?.since,
        stopping: host.openRequests.stopping,
        open: host.openRequests.size,
        waiting: host.engines.view.waiting.length,
        peers: host.peers?.status(),
        endpoints: [...host.engines.view.endpoints.values(), ...host.plain.view.endpoints.values()].map(view => ({
            id: view.cfg.id,
            streams: view.streams.size,
            others: view.others.streams,
            leavingBy: view.leavingBy,
            ejected: view.breaker.openUntil > 0,
        })),
    };
}

/** Reads the audit trail for an operator; if the operator may not or the store is away, answers that and returns undefined. */
async function readAuditTrail(
    host: Host,
    req: FastifyRequest,
    reply: FastifyReply,
): Promise<readonly AuditEntry[] | undefined> {
    if (!authorize(host, req, reply, "read")) return undefined;
    const found = await host.store.auditTrail(host.signal);
    if (found.ok) return found.value;
    await reply.code(503).send({ kind: "away" });
    return undefined;
}

function addAuditRoutes(host: Host, app: FastifyInstance): void {
    app.get("/settings/log", async (req, reply) => {
        const trail = await readAuditTrail(host, req, reply);
        return trail ? { entries: trail } : reply;
    });
    app.get<{ Params: { version: string } }>("/settings/version/:version", async (req, reply) => {
        const trail = await readAuditTrail(host, req, reply);
        if (!trail) return reply;
        const version = Number(req.params.version);
        const replayed = replayAuditTrail(trail.slice(0, version));
        if (!replayed.ok || !(version >= 1 && version <= trail.length)) {
            return reply.code(404).send({ kind: "noSuchVersion" });
        }
        return { version, tree: replayed.tree, ini: formatTree(replayed.tree) };
    });
    app.get("/settings/verify", async (req, reply) => {
        const trail = await readAuditTrail(host, req, reply);
        if (!trail) return reply;
        const replayed = replayAuditTrail(trail);
        const differences = replayed.ok ? diffTrees(replayed.tree, treeOf(host)) : [];
        return { complete: replayed.ok && differences.length === 0, versions: trail.length, differences };
    });
}
