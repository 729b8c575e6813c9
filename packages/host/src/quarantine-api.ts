/**
 * What operators may ask of requests that end endpoints, and do about them: the list of them, and to lift a quarantine.
 *
 * @module
 */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { timingSafeEqual } from "node:crypto";
import { hashSecret } from "./directory.js";
import type { RequestGuard } from "./request-guard.js";

/** What the calls need of a host. */
export interface QuarantineApiDeps {
    readonly guard: Pick<RequestGuard, "list" | "clear" | "isSuspect">;
    /** Whoever has one of the fleet's secrets may call. */
    readonly secrets: readonly string[];
}

const BEARER = /^Bearer (\S+)$/;

/** Adds the calls to a server. */
export function serveQuarantine(app: FastifyInstance, { guard, secrets }: QuarantineApiDeps): void {
    const allowed = secrets.map(secret => Buffer.from(hashSecret(secret)));
    const check = async (req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply | undefined> => {
        const given = Buffer.from(hashSecret(BEARER.exec(req.headers.authorization ?? "")?.[1] ?? ""));
        if (allowed.some(hash => timingSafeEqual(hash, given))) return undefined;
        return reply.code(401).send({
            error: { code: "invalid_token", message: "one of the fleet's secrets is needed" },
        });
    };
    app.get("/quarantine", { preHandler: check }, (_req, reply) => reply.send({ requests: guard.list() }));
    app.post<{ Params: { fingerprint: string } }>(
        "/quarantine/:fingerprint/lift",
        { preHandler: check },
        (req, reply) => {
            const { fingerprint } = req.params;
            if (!guard.isSuspect(fingerprint)) {
                const message = "nothing is held against a request of this fingerprint";
                return reply.code(404).send({ error: { code: "not_quarantined", message } });
            }
            guard.clear(fingerprint, "operator");
            return reply.send({ lifted: fingerprint });
        },
    );
}
