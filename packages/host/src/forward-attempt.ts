/**
 * Makes the attempts of a forwarded call: sends it to an endpoint, judges the answer's head, and reports pieces of the
 * answer to the call's state machine. A stream is reported event by event, another answer as a whole unless it is long.
 *
 * @module
 */
import {
    type AnswerHead,
    errText,
    EventSplitter,
    type PlatformWire,
    type RawHeaders,
    type SendHead,
} from "@drumpaddle/protocol";
import type { LossCause } from "@drumpaddle/request";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { EndpointConnections, Exchange, ExchangeSink } from "./endpoint-connections.js";
import type { AttemptSink } from "./run.js";

/** A part of an answer on its way to the caller. */
export interface AnswerPiece {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    /** Length of the whole body; undefined where it is not known yet. */
    readonly length: number | undefined;
}

/** One attempt of a forwarded call. */
export interface ForwardAttempt {
    readonly id: string;
    readonly endpoint: EndpointEntry;
    readonly method: string;
    readonly path: string;
    readonly send: SendHead;
    readonly body: Buffer | undefined;
    /** Whether the endpoint's own failures may be tried elsewhere. */
    readonly repeatable: boolean;
    readonly sink: AttemptSink<AnswerPiece>;
    /** Calls back when the caller takes more bytes, if it takes none now; returns whether it takes some now. */
    readonly whenWritable: (resume: () => void) => boolean;
    /** Told when the endpoint refuses because it is another one than the call names. */
    readonly onOtherIncarnation: () => void;
    readonly signal: AbortSignal;
}

/** Answers up to this size are held until they are whole, so that a broken one can be tried elsewhere or refused. */
const HELD_BYTES = 262_144;
const NO_BYTES = Buffer.alloc(0);
/** Another life of an endpoint answers this to a call that names the one before. */
const MISDIRECTED = 421;
/** Statuses that tell a caller that its request has not run; an endpoint's are passed on only if it says so itself. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Starts an attempt; it reports to its sink until it has ended or its signal ends it.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, attempt);
 * ```
 */
export function startAttempt(connections: EndpointConnections, wire: PlatformWire, attempt: ForwardAttempt): void {
    new Answering(connections, wire, attempt).start();
}

/** What an answer's head says must become of it. */
type Verdict =
    | { readonly kind: "take" }
    | { readonly kind: "refused" }
    | { readonly kind: "invalid"; readonly detail: string };

function judge(call: string, status: number, head: AnswerHead): Verdict {
    if (head.id !== undefined && head.id !== call) return { kind: "invalid", detail: `an answer to ${head.id}` };
    if (head.notRun || status === MISDIRECTED) return { kind: "refused" };
    if (PROMISES.has(status)) return { kind: "invalid", detail: `${status} without a word on whether it ran` };
    if (head.encoded) return { kind: "invalid", detail: "an encoded body" };
    if (status >= 200 && status < 300) {
        if (head.id === undefined) return { kind: "invalid", detail: "a success that names no call" };
        if (!head.sealed) return { kind: "invalid", detail: "a success without a seal" };
    }
    return { kind: "take" };
}

class Answering implements ExchangeSink {
    private exchange: Exchange | undefined;
    private status = 0;
    private head: AnswerHead | undefined;
    private verdict: Verdict | undefined;
    private splitter: EventSplitter | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private pieces = 0;
    private over = false;

    constructor(
        private readonly connections: EndpointConnections,
        private readonly wire: PlatformWire,
        private readonly attempt: ForwardAttempt,
    ) {}

    start(): void {
        const { endpoint, method, path, send, body, signal } = this.attempt;
        signal.addEventListener("abort", () => this.cut(), { once: true });
        const call = { method, path, headers: this.wire.writeSend(send), body };
        this.exchange = this.connections.send(endpoint.address, call, this);
        if (this.over) this.exchange.destroy();
    }

    onSending(): void {
        this.sent = true;
        this.attempt.sink.event({ kind: "sending", attempt: this.attempt.id });
    }

    private sent = false;

    onHead(status: number, headers: RawHeaders): void {
        // An informational head; the answer's own is to come.
        if (this.over || status < 200) return;
        const { id, send, sink } = this.attempt;
        this.status = status;
        this.head = this.wire.readAnswer(headers);
        this.verdict = judge(send.call.id, status, this.head);
        if (this.verdict.kind === "invalid") return this.lose("invalid", this.verdict.detail);
        if (this.verdict.kind === "refused") return;
        sink.event({ kind: "opened", attempt: id, generation: id });
        if (this.head.isEventStream && status === 200) this.splitter = new EventSplitter();
    }

    onData(chunk: Buffer): void {
        if (this.over || this.verdict?.kind !== "take") return;
        if (this.splitter) return this.passEvents(this.splitter.push(chunk).map(event => event.bytes));
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        if (this.heldBytes > HELD_BYTES || this.pieces > 0) this.passHeld();
    }

    onEnd(orderly: boolean): void {
        if (this.over) return;
        if (!this.head) return this.lose("reset", "the answer had no head");
        if (this.verdict?.kind === "refused") return this.refuse();
        const cut = !this.head.framed && !orderly && !NO_BODY_STATUSES.has(this.status);
        if (cut) return this.lose("reset", "the connection was reset before the answer's end was told");
        this.over = true;
        this.releaseConnection();
        this.finish();
    }

    onBroken(err: Error): void {
        if (this.over) return;
        // Before its first byte left nothing can have run, whatever the error.
        this.lose(this.sent ? "reset" : "connect", errText(err));
    }

    private finish(): void {
        const { id, sink, repeatable } = this.attempt;
        const whole = this.pieces === 0 && !this.splitter;
        if (whole && repeatable && this.status >= 500) {
            sink.event({ kind: "failedAnswer", attempt: id, generation: id }, this.piece(this.takeHeld()));
            return;
        }
        if (whole) this.pass(this.takeHeld());
        const last = this.splitter ? this.splitter.unfinished : this.takeHeld();
        sink.event({ kind: "finished", attempt: id, generation: id, total: this.pieces }, this.piece(last));
    }

    private refuse(): void {
        this.over = true;
        this.releaseConnection();
        if (this.status === MISDIRECTED) this.attempt.onOtherIncarnation();
        const detail = `the endpoint refused with ${this.status}`;
        this.attempt.sink.event({ kind: "endpointRefused", attempt: this.attempt.id, detail });
    }

    private passEvents(events: readonly Buffer[]): void {
        for (const event of events) this.pass(event);
        if (events.length > 0) this.holdBack();
    }

    private passHeld(): void {
        this.pass(this.takeHeld());
        this.holdBack();
    }

    private takeHeld(): Buffer {
        const bytes = this.held.length === 1 ? this.held[0]! : Buffer.concat(this.held);
        this.held = [];
        return bytes;
    }

    private pass(bytes: Buffer): void {
        const { id, sink } = this.attempt;
        const index = this.pieces;
        this.pieces += 1;
        sink.event({ kind: "token", attempt: id, generation: id, index }, this.piece(bytes));
    }

    private piece(body: Buffer): AnswerPiece {
        const length = this.splitter ? undefined : this.head?.length ?? (this.over ? this.heldBytes : undefined);
        return { status: this.status, headers: this.head?.passed ?? [], body, length };
    }

    /** Reads no further while the caller takes nothing. */
    private holdBack(): void {
        if (this.attempt.whenWritable(() => this.exchange?.resume())) return;
        this.exchange?.pause();
    }

    private releaseConnection(): void {
        if (!this.head || this.head.closes || !this.head.framed) return this.exchange?.destroy();
        this.exchange?.release(this.head.keepAliveMs);
    }

    private lose(cause: LossCause, detail: string): void {
        this.over = true;
        this.exchange?.destroy();
        this.attempt.sink.event({ kind: "lost", attempt: this.attempt.id, cause, detail });
    }

    private cut(): void {
        if (this.over) return;
        this.over = true;
        this.exchange?.destroy();
    }
}

/** A piece without bytes, for answers that have none. */
export function isEmpty(piece: AnswerPiece | undefined): boolean {
    return (piece?.body ?? NO_BYTES).length === 0;
}
