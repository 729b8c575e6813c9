/**
 * Endpoints as hosts tell each other of them: checked when they are read, as a peer may be of another version.
 *
 * @module
 */
import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { type EndpointEntry, EndpointState } from "./deployment.js";

const Entries = Type.Array(Type.Object({
    incarnation: Type.String({ minLength: 1 }),
    service: Type.String(),
    address: Type.String({ pattern: "^\\S+:\\d+$" }),
    hall: Type.String(),
    slots: Type.Number({ minimum: 0 }),
    state: Type.Union([Type.Literal(EndpointState.Ready), Type.Literal(EndpointState.Leaving)]),
    coldMs: Type.Number({ minimum: 0 }),
}));
const check = TypeCompiler.Compile(Entries);

/** Why a list of endpoints cannot be read. */
export type EndpointListError =
    | { readonly kind: "notJson"; readonly detail: string }
    | { readonly kind: "badEndpoint"; readonly at: string; readonly detail: string };

/** Endpoints, or why there are none. */
export type EndpointListResult =
    | { readonly ok: true; readonly value: readonly EndpointEntry[] }
    | { readonly ok: false; readonly err: EndpointListError };

/** A list of endpoints as text. */
export function writeEndpoints(entries: readonly EndpointEntry[]): string {
    return JSON.stringify(entries);
}

/**
 * Reads a list of endpoints; never throws.
 *
 * @example
 * ```ts
 * const read = readEndpoints(text);
 * if (!read.ok) log.warn({ err: read.err.kind }, "endpoints_ignored");
 * ```
 */
export function readEndpoints(text: string): EndpointListResult {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (err) {
        return { ok: false, err: { kind: "notJson", detail: (err as Error).message } };
    }
    if (check.Check(value)) return { ok: true, value };
    const first = check.Errors(value).First();
    return {
        ok: false,
        err: { kind: "badEndpoint", at: first?.path ?? "/", detail: first?.message ?? "not as expected" },
    };
}
