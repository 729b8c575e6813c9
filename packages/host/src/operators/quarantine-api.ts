/**
 * Operators' routes for requests that are suspected of ending endpoints: list them, and lift a quarantine.
 *
 * @module
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { timingSafeEqual } from "node:crypto";
import type { RequestGuard } from "../endpoints/request-guard.js";
import { hashSecret, type Role } from "../store/directory.js";

/** Whether a request may act in a role; if not, its refusal has been sent. */
export type Allow = (req: FastifyRequest, reply: FastifyReply, role: Role) => boolean;

const BEARER = /^Bearer (\S+)$/;

/**
 * Allows every request that carries one of the fleet's secrets, on hosts that have no operators.
 *
 * @example
 * ```ts
 * addQuarantineRoutes(app, guard, allowSecrets(cfg["peers.secrets"]));
 * ```
 */
export function allowSecrets(secrets: readonly string[]): Allow {
    const allowed = secrets.map(secret => Buffer.from(hashSecret(secret)));
    return (req, reply) => {
        const given = Buffer.from(hashSecret(BEARER.exec(req.headers.authorization ?? "")?.[1] ?? ""));
        const isAllowed = allowed.some(hash => timingSafeEqual(hash, given));
        if (!isAllowed) {
            void reply.code(401).send({
                error: { code: "invalid_token", message: "one of the fleet's secrets is needed" },
            });
        }
        return isAllowed;
    };
}

/** Adds the routes under `/quarantine` to a server. */
export function addQuarantineRoutes(
    app: FastifyInstance,
    guard: Pick<RequestGuard, "list" | "clear" | "isSuspect">,
    allow: Allow,
): void {
    app.get("/quarantine", (req, reply) => allow(req, reply, "read") ? reply.send({ requests: guard.list() }) : reply);
    app.post<{ Params: { fingerprint: string } }>("/quarantine/:fingerprint/lift", (req, reply) => {
        if (!allow(req, reply, "edit")) return reply;
        const { fingerprint } = req.params;
        if (!guard.isSuspect(fingerprint)) {
            const message = "nothing is held against a request of this fingerprint";
            return reply.code(404).send({ error: { code: "not_quarantined", message } });
        }
        guard.clear(fingerprint, "operator");
        return reply.send({ lifted: fingerprint });
    });
}
