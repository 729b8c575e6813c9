/**
 * The metadata of forwarded calls, independent of any platform's header names, and {@link PlatformWire}, the interface of
 * the codec that a platform supplies for its headers and stored values.
 *
 * @module
 */
import type { Deployment, EndpointEntry } from "@drumpaddle/routes";

/** Headers in the order received, as alternating names and values. */
export type RawHeaders = readonly string[];

/** One part of a prompt, in order. Calls may share all parts but the last. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What the head of a generation call declares. */
export interface GenerationHead {
    readonly model: string;
    readonly promptTokens: number;
    readonly maxTokens: number;
    /** The caller's estimate of the output length; correct in the median, but often far off. */
    readonly hintTokens: number | undefined;
    readonly parts: readonly PromptPart[];
}

/** The decoded head of a caller's request. */
export interface CallHead {
    /** The caller's id of this attempt, which the endpoint receives unchanged. */
    readonly id: string;
    /** How long the caller waits after sending the request, in milliseconds; undefined if it sets no deadline. */
    readonly deadlineMs: number | undefined;
    readonly host: string;
    readonly key: string | undefined;
    readonly generation: GenerationHead | undefined;
    /** Id of the last event that the caller has received, after which the stream resumes; undefined for a new stream. */
    readonly resumeAfter: string | undefined;
    /** The other headers, which the endpoint receives unchanged. */
    readonly forwardedHeaders: RawHeaders;
}

/** Why a caller's head cannot be decoded. */
export interface HeadError {
    readonly kind: "badHead";
    readonly detail: string;
}

/** Continues a generation from a copy that another endpoint has made of it. */
export interface Continuation {
    /** `ip:port` of the endpoint that made the copy. */
    readonly source: string;
    /** The copy's name at that endpoint. */
    readonly copy: string;
    /** Id of the last event that the caller has received; undefined if it has none. */
    readonly lastEvent: string | undefined;
}

/** What a host sends to an endpoint in the head of a call. */
export interface AttemptHead {
    readonly call: CallHead;
    /** Time left until the call's deadline, in milliseconds. */
    readonly deadlineMs: number;
    /** Id of the intended endpoint. Any other endpoint at the address must refuse the call; a later incarnation of the same one does not. */
    readonly endpointId: string;
    readonly workspace: string | undefined;
    /** Priority of the call, from 0 (first) to 9. */
    readonly rank: number;
    readonly continueFrom?: Continuation | undefined;
    /** `ip:port` of the standby endpoint to which the generation is copied as it grows. */
    readonly standbyAddress?: string | undefined;
}

/** An optional number in the head of an endpoint's response. */
export type DeclaredNumber =
    | { readonly kind: "none" }
    | { readonly kind: "number"; readonly value: number }
    | { readonly kind: "malformed"; readonly text: string };

/** The decoded head of an endpoint's response. */
export interface AnswerHead {
    /** Id of the attempt that the endpoint answers; undefined if absent. */
    readonly id: string | undefined;
    /** Whether the endpoint declares that it has not run the call and never will. */
    readonly notRun: boolean;
    /** Whether the response carries the endpoint's seal. */
    readonly sealed: boolean;
    /** Whether the body has a content encoding, which endpoints must not use. */
    readonly hasContentEncoding: boolean;
    readonly isEventStream: boolean;
    /** Whether the endpoint closes the connection after this response. */
    readonly closes: boolean;
    /** How long the endpoint keeps an idle connection, in milliseconds; undefined if not declared. */
    readonly keepAliveMs: number | undefined;
    /** Length of the body in bytes; undefined if not declared. */
    readonly length: number | undefined;
    /** Whether a length or chunked encoding marks the end of the body, so that a truncated one is detected. */
    readonly framed: boolean;
    /** The rate of requests per second that the endpoint accepts from all hosts together, while it declares one. */
    readonly limitPerS: DeclaredNumber;
    /** Requests per second that the endpoint can turn away for want of room without failing, if it says so. */
    readonly maxRejectsPerS: DeclaredNumber;
    /** Whether the endpoint announces that it is leaving. */
    readonly leaving: boolean;
    /** Seconds after which a caller may retry; in a refusal, the seconds for which this host must send the endpoint nothing. */
    readonly retryAfterS: DeclaredNumber;
    /** The headers that are forwarded to the caller. */
    readonly forwardedHeaders: RawHeaders;
}

/** A decoded value, or why it could not be decoded. */
export type Decoded<T, E> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: E };

/** Why a stored value cannot be decoded, and where in the value the error is. */
export interface DecodeError {
    readonly kind: "badValue";
    readonly at: string;
    readonly detail: string;
}

/** A control request from a host to an endpoint. */
export interface EndpointCall {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body: string | undefined;
}

/** An endpoint's response to the request to copy a running generation. */
export type CopyAnswer =
    /** `copy` is the copy's name at the endpoint that made it. */
    | { readonly kind: "copied"; readonly copy: string }
    | { readonly kind: "notMade"; readonly detail: string };

/** An endpoint's response to the order to stop a running generation. */
export type StopAnswer =
    /** It has stopped and keeps the generation's state under the name `copy`; `isCopied`: the target of the order has it as well. */
    | { readonly kind: "stopped"; readonly copy: string; readonly isCopied: boolean }
    /** The endpoint runs no such generation. */
    | { readonly kind: "notRunning" }
    /** The generation may still run. */
    | { readonly kind: "notStopped"; readonly detail: string };

/** An endpoint's response to the question of whether it is leaving. */
export type LeavingAnswer =
    | {
        readonly kind: "told";
        /** Whether the endpoint is about to exit and accepts no new work. */
        readonly leaving: boolean;
        /** Milliseconds until the endpoint exits; undefined if it does not know. */
        readonly endsInMs: number | undefined;
        /** Start time of the incarnation that answers, as in {@link EndpointEntry}; undefined if not declared. */
        readonly born: number | undefined;
    }
    | { readonly kind: "notTold"; readonly detail: string };

/** Encodes and decodes the header names, store keys and formats of one platform. Contains no policy. */
export interface PlatformWire {
    readonly storeKeys: {
        /** Key of the stored deployment. */
        readonly deployment: string;
        /** Prefix of the keys of endpoint registrations; the endpoint's id follows. */
        readonly endpoints: string;
        /** Prefix of the keys of evacuations; the hall's name follows. The hall is evacuated while its key exists, whatever the value. */
        readonly evacuations: string;
    };
    decodeDeployment(text: string): Decoded<Deployment, DecodeError>;
    decodeEndpoint(id: string, text: string): Decoded<EndpointEntry, DecodeError>;
    decodeCallHead(headers: RawHeaders): Decoded<CallHead, HeadError>;
    encodeAttemptHead(send: AttemptHead): string[];
    decodeAnswerHead(headers: RawHeaders): AnswerHead;
    /** Creates the request to copy a running generation to another endpoint (`ip:port`); the generation continues meanwhile. */
    copyCall(callId: string, target: string): EndpointCall;
    decodeCopyAnswer(status: number, body: string): CopyAnswer;
    /** Creates the request to stop a running generation and to copy it to another endpoint (`ip:port`). */
    stopCall(callId: string, target: string): EndpointCall;
    decodeStopAnswer(status: number, body: string): StopAnswer;
    /** Creates the request to discard a copy, for the endpoint that made it. */
    dropCopyCall(copy: string): EndpointCall;
    /** Creates the request that asks an endpoint whether it is leaving. */
    leavingCall(): EndpointCall;
    decodeLeavingAnswer(status: number, body: string): LeavingAnswer;
    /** Path at which the platform asks whether this host accepts new connections. */
    readonly readyPath: string;
    /** Encodes the headers of a response that the host itself generates; `retryAfterMs` tells the caller when to retry. */
    encodeRefusalHead(callId: string | undefined, retryAfterMs: number | undefined): string[];
}
