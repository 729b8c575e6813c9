/**
 * Endpoints as hosts tell each other of them: checked when they are read, as a peer may be of another version.
 *
 * @module
 */
import { Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { type EndpointEntry, EndpointState } from "./deployment.js";

const Entry = Type.Object({
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
const check = TypeCompiler.Compile(Entry);

/** Why a list of endpoints cannot be read. */
export type EndpointListError =
    | { readonly kind: "notJson"; readonly detail: string }
    | { readonly kind: "notList" };

/** Why one endpoint of a list names none to use. */
export interface BadEndpoint {
    readonly at: string;
    readonly detail: string;
}

/** The endpoints that can be used, and what else the list holds; or why there is no list. */
export type EndpointListResult =
    | { readonly ok: true; readonly value: readonly EndpointEntry[]; readonly bad: readonly BadEndpoint[] }
    | { readonly ok: false; readonly err: EndpointListError };

/** A list of endpoints as text. */
export function writeEndpoints(entries: readonly EndpointEntry[]): string {
    return JSON.stringify(entries);
}

/**
 * Reads a list of endpoints, each by itself; never throws.
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
    const bad: BadEndpoint[] = [];
    list.forEach((item: unknown, at) => {
        if (check.Check(item)) return void value.push({ ...item, born: item.born, coldMs: item.coldMs });
        const first = check.Errors(item).First();
        bad.push({ at: `/${at}${first?.path ?? ""}`, detail: first?.message ?? "not as expected" });
    });
    return { ok: true, value, bad };
}
