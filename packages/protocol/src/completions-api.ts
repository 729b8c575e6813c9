/**
 * The callers' interface in the completions shape: what is checked of a body, and what decisions need of it. Unknown
 * fields are passed on untouched.
 *
 * @module
 */
import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";

const Common = {
    model: Type.String({ minLength: 1, maxLength: 200 }),
    stream: Type.Optional(Type.Boolean()),
    max_tokens: Type.Optional(Type.Union([Type.Integer({ minimum: 1, maximum: 10_000_000 }), Type.Null()])),
    max_completion_tokens: Type.Optional(Type.Union([Type.Integer({ minimum: 1, maximum: 10_000_000 }), Type.Null()])),
    prompt_cache_key: Type.Optional(Type.String({ maxLength: 500 })),
    n: Type.Optional(Type.Literal(1)),
};

/** Body of `POST /v1/chat/completions`. */
export const ChatBody = Type.Object({
    ...Common,
    messages: Type.Array(Type.Object({ role: Type.String({ maxLength: 50 }) }), { minItems: 1, maxItems: 100_000 }),
});

/** Body of `POST /v1/completions`. */
export const CompletionBody = Type.Object({
    ...Common,
    prompt: Type.Union([Type.String(), Type.Array(Type.String())]),
});

/** Either body. */
export type GenerationBody = Static<typeof ChatBody> | Static<typeof CompletionBody>;

/** What is wrong with a body. */
export interface BodyError {
    readonly kind: "badBody";
    /** The field, such as `/messages/0/role`; empty for the body itself. */
    readonly field: string;
    readonly detail: string;
}

/** A checked body or what is wrong with it. */
export type BodyResult = { readonly ok: true; readonly body: GenerationBody } | {
    readonly ok: false;
    readonly err: BodyError;
};

/**
 * Checks a caller's body.
 *
 * @example
 * ```ts
 * const checked = checkBody(ChatBody, JSON.parse(text));
 * if (!checked.ok) checked.err.field; // "/model"
 * ```
 */
export function checkBody(schema: TSchema, body: unknown): BodyResult {
    const first = Value.Errors(schema, body).First();
    if (first) return { ok: false, err: { kind: "badBody", field: first.path, detail: first.message } };
    return { ok: true, body: body as GenerationBody };
}

/** Bytes of a prompt for one token, as far as decisions care. */
const BYTES_PER_TOKEN = 4;

/** What decisions need of a body. */
export interface BodyFacts {
    readonly model: string;
    readonly stream: boolean;
    readonly promptTokens: number;
    /** The caller's bound on the output; undefined if it gave none. */
    readonly maxTokens: number | undefined;
    readonly prefix: string;
}

/**
 * What decisions need of a checked body.
 *
 * @param bytes Length of the body as it came.
 *
 * @example
 * ```ts
 * factsOf(body, 4096).promptTokens; // 1024
 * ```
 */
export function factsOf(body: GenerationBody, bytes: number): BodyFacts {
    return {
        model: body.model,
        stream: body.stream === true,
        promptTokens: Math.max(1, Math.ceil(bytes / BYTES_PER_TOKEN)),
        maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
        prefix: body.prompt_cache_key ?? "",
    };
}
