/**
 * Operators' routes for requests that are suspected of crashing endpoints: list them, and lift a quarantine.
 *
 * @module
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { timingSafeEqual } from "node:crypto";
import type { RequestGuard } from "../endpoints/request-guard.js";
import { hashSecret, type Role } from "../store/directory.js";

/** Whether the sender of a request has a role; if not, the function has answered with a refusal. */
export type Authorize = (req: FastifyRequest, reply: FastifyReply, role: Role) => boolean;

const BEARER = /^Bearer (\S+)$/;

/**
 * Allows every request that carries one of the secrets that peers share, for hosts whose settings name no operators.
 *
 * @example
 * ```ts
 * addQuarantineRoutes(app, guard, allowSecrets(cfg["peers.secrets"]));
 * ```
 */
export function allowSecrets(secrets: readonly string[]): Authorize {
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
    guard: Pick<RequestGuard, "list" | "clear" | "isHeldAgainst">,
    authorize: Authorize,
): void {
    app.get(
        "/quarantine",
        (req, reply) => authorize(req, reply, "read") ? reply.send({ requests: guard.list() }) : reply,
    );
    app.post<{ Params: { fingerprint: string } }>("/quarantine/:fingerprint/lift", (req, reply) => {
        if (!authorize(req, reply, "edit")) return reply;
        const { fingerprint } = req.params;
        if (!guard.isHeldAgainst(fingerprint)) {
            const message = "nothing is held against a request of this fingerprint";
            return reply.code(404).send({ error: { code: "not_quarantined", message } });
        }
        guard.clear(fingerprint, "operator");
        return reply.send({ lifted: fingerprint });
    });
}
