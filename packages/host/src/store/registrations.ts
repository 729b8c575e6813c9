/**
 * Decodes endpoints' registrations from the store's entries and from peers' lists. Each is decoded by itself, as other programs
 * write to the store too: an unreadable registration is logged and counted, and its endpoint is not used.
 *
 * @module
 */
import type { Decoded, DecodeError, KvChange, PlatformWire } from "@drumpaddle/protocol";
import { type EndpointEntry, readEndpoints, type RegistryChange } from "@drumpaddle/routes";
import type { Log } from "../runtime/log.js";
import type { Metrics } from "../runtime/metrics.js";

/** What a {@link RegistrationReader} depends on. */
export interface RegistrationReaderDeps {
    readonly wire: PlatformWire;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Maximum number of unreadable registrations that are remembered, so that each is logged once. */
const MAX_REPORTED = 1_000;

/** Decodes registrations for one host, and logs each unreadable one once. */
export class RegistrationReader {
    /** Revisions of the unreadable registrations that were logged, by endpoint. */
    private readonly reported = new Map<string, number>();

    constructor(private readonly deps: RegistrationReaderDeps) {}

    /**
     * The change that an entry of the store makes to an endpoint's registration or a hall's evacuation; undefined for other
     * keys.
     *
     * @example
     * ```ts
     * registrations.changeOf({ key: `${wire.storeKeys.endpoints}i-7`, value: undefined, modRevision: 12 })?.kind; // "gone"
     * ```
     */
    changeOf({ key, value, modRevision, unreadable }: KvChange): RegistryChange | undefined {
        const { wire } = this.deps;
        const { endpoints: endpointsPrefix, evacuations } = wire.storeKeys;
        if (key.startsWith(evacuations)) {
            return {
                kind: value === undefined && unreadable === undefined ? "reopened" : "evacuated",
                hall: key.slice(evacuations.length),
            };
        }
        if (!key.startsWith(endpointsPrefix)) return undefined;
        const id = key.slice(endpointsPrefix.length);
        if (value === undefined) return { kind: "gone", id };
        const decoded: Decoded<EndpointEntry, DecodeError> = unreadable === undefined
            ? wire.decodeEndpoint(id, value)
            : { ok: false, err: { kind: "badValue", at: "/", detail: unreadable } };
        if (decoded.ok) return { kind: "registered", entry: decoded.value };
        this.reportUnreadable(id, modRevision, decoded.err);
        return { kind: "unreadable", id };
    }

    /** Forgets which revisions were logged; a restored store assigns the same revisions again. */
    resetReported(): void {
        this.reported.clear();
    }

    /** Logs and counts an unreadable registration, once for each revision of it. */
    private reportUnreadable(id: string, revision: number, { at, detail }: DecodeError): void {
        if (this.reported.get(id) === revision) return;
        this.reported.delete(id);
        this.reported.set(id, revision);
        const oldest = this.reported.keys().next();
        if (this.reported.size > MAX_REPORTED && !oldest.done) this.reported.delete(oldest.value);
        this.deps.metrics.countUnreadable("store");
        this.deps.log.warn({ endpoint: id, revision, at, detail }, "endpoint_ignored");
    }

    /** The endpoints of a peer's list, without the unreadable ones; undefined if the text is not a list. */
    readPeerList(text: string): readonly EndpointEntry[] | undefined {
        const { log, metrics } = this.deps;
        const result = readEndpoints(text);
        if (!result.ok) {
            log.warn({ source: "peer", err: result.err.kind }, "endpoints_ignored");
            return undefined;
        }
        for (const { at, detail } of result.bad) {
            metrics.countUnreadable("peer");
            log.warn({ source: "peer", at, detail }, "endpoint_ignored");
        }
        return result.value;
    }
}
