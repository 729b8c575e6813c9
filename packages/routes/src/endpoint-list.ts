/**
 * The list of endpoints that hosts exchange, as JSON. Each entry is validated when it is read, since a peer may run another
 * version.
 *
 * @module
 */
import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { type EndpointEntry, EndpointState } from "./deployment.js";

const EndpointEntrySchema = Type.Object({
    incarnation: Type.String({ minLength: 1 }),
    id: Type.String({ minLength: 1 }),
    born: Type.Optional(Type.Integer()),
    service: Type.String(),
    address: Type.String({ pattern: "^\\S+:\\d+$" }),
    hall: Type.String(),
    slots: Type.Number({ minimum: 0 }),
    state: Type.Union([Type.Literal(EndpointState.Ready), Type.Literal(EndpointState.Leaving)]),
    coldMs: Type.Optional(Type.Number({ minimum: 0 })),
    software: Type.String(),
});
const entryCheck = TypeCompiler.Compile(EndpointEntrySchema);

const MAX_PORT = 65_535;

/** Whether an address has a port that exists: an HTTP client throws where it is given another. */
function hasPort(address: string): boolean {
    const port = Number(address.slice(address.lastIndexOf(":") + 1));
    return port > 0 && port <= MAX_PORT;
}

/** Why a list of endpoints cannot be decoded. */
export type EndpointListError =
    | { readonly kind: "notJson"; readonly detail: string }
    | { readonly kind: "notList" };

/** An invalid entry: a JSON pointer into the list, and the error. */
export interface InvalidEndpoint {
    readonly at: string;
    readonly detail: string;
}

/** The valid endpoints and the invalid entries of a list, or why the list cannot be decoded. */
export type EndpointListResult =
    | { readonly ok: true; readonly value: readonly EndpointEntry[]; readonly bad: readonly InvalidEndpoint[] }
    | { readonly ok: false; readonly err: EndpointListError };

/** Encodes a list of endpoints. */
export function writeEndpoints(entries: readonly EndpointEntry[]): string {
    return JSON.stringify(entries);
}

/**
 * Decodes a list of endpoints and validates each entry on its own. Never throws.
 *
 * @example
 * ```ts
 * const read = readEndpoints(text);
 * if (!read.ok) log.warn({ err: read.err.kind }, "endpoints_ignored");
 * ```
 */
export function readEndpoints(text: string): EndpointListResult {
    let list: unknown;
    try {
        list = JSON.parse(text);
    }
    catch (err) {
        return { ok: false, err: { kind: "notJson", detail: (err as Error).message } };
    }
    if (!Array.isArray(list)) return { ok: false, err: { kind: "notList" } };
    const value: EndpointEntry[] = [];
    const bad: InvalidEndpoint[] = [];
    list.forEach((item: unknown, at) => {
        if (entryCheck.Check(item)) {
            if (hasPort(item.address)) value.push({ ...item, born: item.born, coldMs: item.coldMs });
            else bad.push({ at: `/${at}/address`, detail: "no port to connect to" });
            return;
        }
        const firstError = entryCheck.Errors(item).First();
        bad.push({ at: `/${at}${firstError?.path ?? ""}`, detail: firstError?.message ?? "not as expected" });
    });
    return { ok: true, value, bad };
}
