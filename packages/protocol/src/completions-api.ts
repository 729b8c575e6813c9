/**
 * Request bodies of the chat completions and completions APIs: their validation, and the values that admission and
 * placement use. Unknown fields are passed to the engine unchanged.
 *
 * @module
 */
import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";

const CommonFields = {
    model: Type.String({ minLength: 1, maxLength: 200 }),
    stream: Type.Optional(Type.Boolean()),
    max_tokens: Type.Optional(Type.Union([Type.Integer({ minimum: 1, maximum: 10_000_000 }), Type.Null()])),
    max_completion_tokens: Type.Optional(Type.Union([Type.Integer({ minimum: 1, maximum: 10_000_000 }), Type.Null()])),
    prompt_cache_key: Type.Optional(Type.String({ maxLength: 500 })),
    n: Type.Optional(Type.Literal(1)),
};

/** Body of `POST /v1/chat/completions`. */
export const ChatBody = Type.Object({
    ...CommonFields,
    messages: Type.Array(Type.Object({ role: Type.String({ maxLength: 50 }) }), { minItems: 1, maxItems: 100_000 }),
});

/** Body of `POST /v1/completions`. */
export const CompletionBody = Type.Object({
    ...CommonFields,
    prompt: Type.Union([Type.String(), Type.Array(Type.String())]),
});

/** Body of either API. */
export type GenerationBody = Static<typeof ChatBody> | Static<typeof CompletionBody>;

/** Why a body is invalid. */
export interface BodyError {
    readonly kind: "badBody";
    /** JSON pointer to the invalid field, such as `/messages/0/role`; empty for the body itself. */
    readonly field: string;
    readonly detail: string;
}

/** A valid body, or its first error. */
export type BodyResult = { readonly ok: true; readonly body: GenerationBody } | {
    readonly ok: false;
    readonly err: BodyError;
};

/**
 * Validates a caller's body against a schema.
 *
 * @example
 * ```ts
 * const checked = checkBody(ChatBody, JSON.parse(text));
 * if (!checked.ok) checked.err.field; // "/model"
 * ```
 */
export function checkBody(schema: TSchema, body: unknown): BodyResult {
    const firstError = Value.Errors(schema, body).First();
    if (firstError) return { ok: false, err: { kind: "badBody", field: firstError.path, detail: firstError.message } };
    return { ok: true, body: body as GenerationBody };
}

/** Estimated bytes of a request body per token of its prompt. */
const PROMPT_BYTES_PER_TOKEN = 4;

/** The values of a body that admission and placement use. */
export interface BodyFacts {
    readonly model: string;
    readonly stream: boolean;
    readonly promptTokens: number;
    /** The caller's limit on output tokens; undefined if it set none. */
    readonly maxTokens: number | undefined;
    readonly prefix: string;
}

/**
 * Extracts the values that admission and placement use from a valid body.
 *
 * @param bytes Length of the body as received, from which the number of prompt tokens is estimated.
 *
 * @example
 * ```ts
 * bodyFactsOf(body, 4096).promptTokens; // 1024
 * ```
 */
export function bodyFactsOf(body: GenerationBody, bytes: number): BodyFacts {
    return {
        model: body.model,
        stream: body.stream === true,
        promptTokens: Math.max(1, Math.ceil(bytes / PROMPT_BYTES_PER_TOKEN)),
        maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
        prefix: body.prompt_cache_key ?? "",
    };
}
