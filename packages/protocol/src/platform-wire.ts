/**
 * What travels with a call that is forwarded as it is, whatever the names on the wire: an adapter decodes a caller's
 * head, encodes the head for an endpoint, and decodes an endpoint's answer.
 *
 * @module
 */
import type { Deployment, EndpointEntry } from "@drumpaddle/routes";

/** Headers as they stand on the wire: name, value, name, value. */
export type RawHeaders = readonly string[];

/** One part of a prompt, in order; parts before the last are shared between calls. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a generation call declares of itself. */
export interface GenerationHead {
    readonly model: string;
    readonly promptTokens: number;
    readonly maxTokens: number;
    /** The caller's guess of the output; right in the median, often far off. */
    readonly hintTokens: number | undefined;
    readonly parts: readonly PromptPart[];
}

/** A caller's head, decoded. */
export interface CallHead {
    /** The caller's name for this try; the endpoint sees the same. */
    readonly id: string;
    /** How long the caller waits from when it sent, in milliseconds; undefined where it does not say. */
    readonly deadlineMs: number | undefined;
    readonly host: string;
    readonly key: string | undefined;
    readonly generation: GenerationHead | undefined;
    /** The event after which a stream is to go on. */
    readonly resumeAfter: string | undefined;
    /** What else goes on to the endpoint, unchanged. */
    readonly passed: RawHeaders;
}

/** Why a caller's head is not understood. */
export interface HeadError {
    readonly kind: "badHead";
    readonly detail: string;
}

/** How a generation that ran elsewhere goes on. */
export interface Continuation {
    /** `ip:port` of the endpoint that named the copy. */
    readonly source: string;
    /** The copy's name there. */
    readonly copy: string;
    /** The last event that the caller has; undefined while it has none. */
    readonly lastEvent: string | undefined;
}

/** What this system says to an endpoint with a call. */
export interface SendHead {
    readonly call: CallHead;
    /** What is left of the call's time, in milliseconds. */
    readonly deadlineMs: number;
    /** Any other endpoint at the address must refuse the call; a later life of the same one does not. */
    readonly endpointId: string;
    readonly workspace: string | undefined;
    /** 0 (first) to 9. */
    readonly rank: number;
    readonly continueFrom?: Continuation | undefined;
    /** `ip:port` of an endpoint that keeps a copy as the generation grows. */
    readonly backUpTo?: string | undefined;
}

/** A number that an endpoint may say in an answer. */
export type SaidNumber =
    | { readonly kind: "none" }
    | { readonly kind: "number"; readonly value: number }
    | { readonly kind: "malformed"; readonly text: string };

/** An endpoint's answer head, decoded. */
export interface AnswerHead {
    /** Id of the call that it answers; undefined where it does not say. */
    readonly id: string | undefined;
    /** The endpoint's own word that it has not run the call and will not. */
    readonly notRun: boolean;
    /** Whether it carries the endpoint's seal. */
    readonly sealed: boolean;
    /** Whether its body is encoded, which no endpoint does. */
    readonly encoded: boolean;
    readonly isEventStream: boolean;
    /** The endpoint will close the connection after it. */
    readonly closes: boolean;
    /** How long the endpoint keeps an idle connection, in milliseconds, where it says so. */
    readonly keepAliveMs: number | undefined;
    /** Length of the body in bytes, where it says so. */
    readonly length: number | undefined;
    /** Whether its end can be seen in its bytes, by a length or by chunks. */
    readonly framed: boolean;
    /** The requests a second that the endpoint takes from all hosts together, for as long as it says so. */
    readonly limitPerS: SaidNumber;
    /** Whether the endpoint says that it is leaving. */
    readonly leaving: boolean;
    /** Seconds after which a caller may come back; of a refusal, those for which the endpoint wants nothing from this host. */
    readonly retryAfterS: SaidNumber;
    /** What goes on to the caller. */
    readonly passed: RawHeaders;
}

/** A value or why it could not be decoded. */
export type Decoded<T, E> = { readonly ok: true; readonly value: T } | { readonly ok: false; readonly err: E };

/** Why a stored value is not understood: where in it and what is wrong. */
export interface DecodeError {
    readonly kind: "badValue";
    readonly at: string;
    readonly detail: string;
}

/** A call of this system's own to an endpoint. */
export interface EndpointCall {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body: string | undefined;
}

/** What an endpoint answers to the order to copy a running generation. */
export type CopyAnswer =
    /** The copy's name at the endpoint that made it. */
    | { readonly kind: "copied"; readonly copy: string }
    | { readonly kind: "notMade"; readonly detail: string };

/** What an endpoint says of its own stay. */
export type StayAnswer =
    | {
        readonly kind: "told";
        /** Whether it is about to end and takes no more work. */
        readonly leaving: boolean;
        /** Milliseconds until it ends, where it knows. */
        readonly endsInMs: number | undefined;
        /** When the life that answers began, as {@link EndpointEntry} has it; undefined where it does not say. */
        readonly born: number | undefined;
    }
    | { readonly kind: "notTold"; readonly detail: string };

/** Names and formats of one platform. Decides nothing. */
export interface PlatformWire {
    readonly storeKeys: {
        /** Key of the deployment. */
        readonly deployment: string;
        /** Start of the keys of endpoints; what follows is the endpoint's id. */
        readonly endpoints: string;
        /** Start of the keys of evacuations; what follows is the hall's name. A key that stands is an order, whatever it holds. */
        readonly evacuations: string;
    };
    decodeDeployment(text: string): Decoded<Deployment, DecodeError>;
    decodeEndpoint(id: string, text: string): Decoded<EndpointEntry, DecodeError>;
    readCall(headers: RawHeaders): Decoded<CallHead, HeadError>;
    writeSend(send: SendHead): string[];
    readAnswer(headers: RawHeaders): AnswerHead;
    /** The order to copy a running generation to another endpoint, `ip:port`, while it goes on. */
    copyCall(callId: string, target: string): EndpointCall;
    readCopy(status: number, body: string): CopyAnswer;
    /** Gives up a copy; sent to the endpoint that made it. */
    dropCopyCall(copy: string): EndpointCall;
    /** The question to an engine whether it is leaving. */
    stayCall(): EndpointCall;
    readStay(status: number, body: string): StayAnswer;
    /** Path at which the platform asks whether this host takes new connections. */
    readonly readyPath: string;
    /** Headers of an answer of this system's own; `retryAfterMs` tells when to come back. */
    writeRefusal(callId: string | undefined, retryAfterMs: number | undefined): string[];
}
