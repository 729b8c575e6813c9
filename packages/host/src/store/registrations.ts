/**
 * Reads endpoints' registrations, from the store's items and from peers' lists, each by itself: others write to the store too, and
 * what cannot be read names no endpoint to use.
 *
 * @module
 */
import type { Decoded, DecodeError, KvChange, PlatformWire } from "@drumpaddle/protocol";
import { type EndpointEntry, readEndpoints, type RegistryChange } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";

/** What reading needs of the gateway. */
export interface RegistrationsDeps {
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Unreadable registrations that were told of are remembered up to this number, so that each is told of once. */
const MOST_NOTED = 1_000;

/** The reader of one host. */
export class Registrations {
    /** Revisions of unreadable registrations that were told of, by endpoint. */
    private readonly noted = new Map<string, number>();

    constructor(private readonly deps: RegistrationsDeps) {}

    /**
     * What an item of the store says of an endpoint's registration or a hall's evacuation; undefined where it is of something
     * else.
     *
     * @example
     * ```ts
     * registrations.changeOf({ key: `${wire.storeKeys.endpoints}i-7`, value: undefined, modRevision: 12 })?.kind; // "gone"
     * ```
     */
    changeOf({ key, value, modRevision, unreadable }: KvChange): RegistryChange | undefined {
        const { wire } = this.deps;
        const { endpoints: start, evacuations } = wire.storeKeys;
        if (key.startsWith(evacuations)) {
            return {
                kind: value === undefined && unreadable === undefined ? "reopened" : "evacuated",
                hall: key.slice(evacuations.length),
            };
        }
        if (!key.startsWith(start)) return undefined;
        const id = key.slice(start.length);
        if (value === undefined) return { kind: "gone", id };
        const decoded: Decoded<EndpointEntry, DecodeError> = unreadable === undefined
            ? wire.decodeEndpoint(id, value)
            : { ok: false, err: { kind: "badValue", at: "/", detail: unreadable } };
        if (decoded.ok) return { kind: "registered", entry: decoded.value };
        this.note(id, modRevision, decoded.err);
        return { kind: "unreadable", id };
    }

    /** Forgets which revisions were told of: the store gives them out again. */
    forget(): void {
        this.noted.clear();
    }

    /** Tells of a registration that cannot be read, once for each time that it was written. */
    private note(id: string, revision: number, { at, detail }: DecodeError): void {
        if (this.noted.get(id) === revision) return;
        this.noted.delete(id);
        this.noted.set(id, revision);
        const oldest = this.noted.keys().next();
        if (this.noted.size > MOST_NOTED && !oldest.done) this.noted.delete(oldest.value);
        this.deps.metrics.countUnreadable("store");
        this.deps.log.warn({ endpoint: id, revision, at, detail }, "endpoint_ignored");
    }

    /** The endpoints of a peer's list that can be read; undefined where it is no list. */
    fromPeer(text: string): readonly EndpointEntry[] | undefined {
        const { log, metrics } = this.deps;
        const read = readEndpoints(text);
        if (!read.ok) {
            log.warn({ source: "peer", err: read.err.kind }, "endpoints_ignored");
            return undefined;
        }
        for (const { at, detail } of read.bad) {
            metrics.countUnreadable("peer");
            log.warn({ source: "peer", at, detail }, "endpoint_ignored");
        }
        return read.value;
    }
}
