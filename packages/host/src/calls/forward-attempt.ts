/**
 * Makes one attempt of a forwarded call: sends it to an endpoint, checks the head of the answer, and reports the answer
 * to the call's state machine in pieces. A stream is reported event by event, any other answer as one piece unless it
 * is long.
 *
 * @module
 */
import {
    type AnswerHead,
    type AttemptHead,
    errText,
    EventSplitter,
    type PlatformWire,
    type RawHeaders,
    type ServerSentEvent,
} from "@drumpaddle/protocol";
import { FailCode, type LossCause } from "@drumpaddle/request";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { ConnectionUse, EndpointConnections, Exchange, ExchangeSink } from "../endpoints/endpoint-connections.js";
import { type FirstEventCfg, FirstEventWatch } from "./first-event-watch.js";
import {
    canFollow,
    isInterim,
    isStream,
    judgeAnswer,
    MISDIRECTED,
    type SentBefore,
    type Verdict,
} from "./judge-answer.js";
import { ReadPauses, SLOW_READER_MS } from "./read-pauses.js";
import type { AttemptSink } from "./request-driver.js";
import { type SilenceCfg, SilenceWatch } from "./silence-watch.js";

/** A piece of an answer. */
export interface AnswerPiece {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    /** Length of the complete body; undefined if it is not known yet. */
    readonly length: number | undefined;
    /** Whether a length or chunks mark the end of the endpoint's answer. If not, it ends with its connection. */
    readonly framed: boolean;
    /** Id of the event, if the piece is an event with an id. */
    readonly eventId: string | undefined;
}

/** One attempt of a forwarded call. */
export interface ForwardAttempt {
    readonly id: string;
    readonly endpoint: EndpointEntry;
    readonly method: string;
    readonly path: string;
    readonly send: AttemptHead;
    readonly body: Buffer | undefined;
    /** Connections that carried earlier attempts of the call. */
    readonly usedConnections: ReadonlySet<number>;
    /** What the caller has received from earlier attempts; undefined if nothing. */
    readonly alreadySent: SentBefore | undefined;
    /** When a silent stream counts as lost; undefined if it could not continue elsewhere. */
    readonly silence: SilenceCfg | undefined;
    /** How a stream without events is watched; undefined if the call is no stream. */
    readonly firstEvent: FirstEventCfg | undefined;
    readonly sink: AttemptSink<AnswerPiece>;
    /** Returns whether more of the answer may be read now; if not, calls back when it may. */
    readonly whenRoom: (resume: () => void) => boolean;
    /** Returns how many bytes of an incomplete answer or event the attempt may hold. */
    readonly holdLimit: () => number;
    /** Called with the number of bytes of the answer that the attempt holds now. */
    readonly onHeld: (bytes: number) => void;
    /**
     * Receives a function that returns for how long the endpoint has not read all of the body, in milliseconds; 0 if it
     * has.
     */
    readonly trackBodyStall: (unreadMs: () => number) => void;
    /**
     * Called when the attempt is abandoned while the endpoint has not read all of the body for {@link SLOW_READER_MS}.
     */
    readonly onBodyUnread: (bytes: number, ms: number) => void;
    /** Called when the first byte is about to be sent, with the connection. */
    readonly onConnection: (use: ConnectionUse) => void;
    /** Returns the time in milliseconds. */
    readonly now: () => number;
    /** Called with the status and head of the answer, before any of it is reported. */
    readonly onAnswered: (status: number, head: AnswerHead) => void;
    /** Called with what the endpoint states about itself, if the answer is certainly its own. */
    readonly onSelfReport: (status: number, head: AnswerHead) => void;
    /** Called when the endpoint refuses the call because it is not the incarnation that the call names. */
    readonly onMisdirected: () => void;
    /** Aborts when the endpoint's incarnation is known to be over: its connection may stay silent forever. */
    readonly incarnationSignal: AbortSignal;
    readonly signal: AbortSignal;
}

/**
 * The host holds an answer up to this size until it is complete, so that it can still retry or refuse the call if the
 * connection breaks.
 */
const MAX_HELD_BYTES = 262_144;
/** The host forwards events as a whole, and accepts larger ones than this only if it has memory for them. */
const USUAL_EVENT_BYTES = 1_000_000;
/** An event that is larger is taken for one without end. */
const MAX_EVENT_BYTES = 8_000_000;
/** Answers with this status or above are errors of the endpoint. */
const MIN_FAILED_STATUS = 500;
/** A refusal is known by its head. One with a longer body is not read to its end. */
const MAX_REFUSAL_BYTES = 65_536;
/** Statuses of answers that never have a body. */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Starts an attempt, which reports to its sink until it ends or its signal aborts.
 *
 * @example
 * ```ts
 * startAttempt(connections, wire, attempt);
 * ```
 */
export function startAttempt(connections: EndpointConnections, wire: PlatformWire, attempt: ForwardAttempt): void {
    new AttemptExchange(connections, wire, attempt).start();
}

/** The exchange of one attempt with its endpoint. */
class AttemptExchange implements ExchangeSink {
    private exchange: Exchange | undefined;
    private status = 0;
    private head: AnswerHead | undefined;
    private verdict: Verdict | undefined;
    private splitter: EventSplitter | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private pieces: number;
    /** Whether the first event with an id was compared with what the caller has already received. */
    private hasCheckedFirstId = false;
    /** Whether an event with data but without an id was reported after the last event with an id. */
    private lastDataHasNoId = false;
    private hasEnded = false;
    private sentAt: number | undefined;
    private use: ConnectionUse | undefined;
    private readonly pauses: ReadPauses;
    private readonly silence: SilenceWatch | undefined;
    private readonly firstEvent: FirstEventWatch | undefined;

    constructor(
        private readonly connections: EndpointConnections,
        private readonly wire: PlatformWire,
        private readonly attempt: ForwardAttempt,
    ) {
        this.pieces = attempt.alreadySent?.pieces ?? 0;
        this.pauses = new ReadPauses(attempt.now);
        const { silence, firstEvent } = attempt;
        this.silence = silence && new SilenceWatch(silence, detail => {
            if (!this.hasEnded) this.reportLoss("idle", detail);
        });
        this.firstEvent = firstEvent && new FirstEventWatch(firstEvent, detail => this.reportLoss("reset", detail));
    }

    start(): void {
        const { endpoint, method, path, send, body, incarnationSignal, signal } = this.attempt;
        if (signal.aborted) return this.onAbort();
        signal.addEventListener("abort", () => this.onAbort(), { once: true });
        incarnationSignal.addEventListener("abort", this.onIncarnationOver, { once: true });
        const { usedConnections } = this.attempt;
        const call = { method, path, headers: this.wire.encodeAttemptHead(send), body, usedConnections };
        this.attempt.trackBodyStall(() => this.bodyUnreadMs);
        this.exchange = this.connections.send(endpoint.address, call, this);
        if (this.hasEnded) this.exchange.destroy();
    }

    onSending(use: ConnectionUse): void {
        // Whoever ended the attempt takes it for never sent.
        if (this.hasEnded) throw new Error("the attempt has ended");
        this.use = use;
        this.attempt.onConnection(use);
        this.sentAt = this.attempt.now();
        this.firstEvent?.start();
        this.attempt.sink.report({ kind: "sending", attempt: this.attempt.id });
    }

    onHead(status: number, headers: RawHeaders): void {
        if (this.hasEnded || isInterim(status)) return;
        const { id, send, sink, alreadySent, onAnswered, onSelfReport } = this.attempt;
        this.status = status;
        this.head = this.wire.decodeAnswerHead(headers);
        onAnswered(status, this.head);
        // An answer to another call is a late one, and the answer to a misdirected call comes from another incarnation.
        if (this.head.id === send.call.id && status !== MISDIRECTED) onSelfReport(status, this.head);
        const sentCall = { id: send.call.id, connectionCalls: this.use?.calls ?? 0, before: alreadySent };
        this.verdict = judgeAnswer(sentCall, status, this.head);
        if (this.verdict.kind === "invalid") return this.reportLoss("invalid", this.verdict.detail);
        if (this.verdict.kind === "refused") return;
        sink.report({ kind: "opened", attempt: id, generation: id });
        if (isStream(status, this.head)) this.splitter = new EventSplitter();
    }

    onData(chunk: Buffer): void {
        if (this.hasEnded) return;
        if (this.verdict?.kind !== "accept") return this.skipRefusal(chunk.length);
        this.firstEvent?.stop();
        if (this.splitter) return this.reportEvents(this.splitter.push(chunk), this.splitter.unfinished.length);
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        // If memory is short, an answer is forwarded as it arrives, and can then no longer be retried elsewhere.
        if (this.hasReported || this.heldBytes > Math.min(MAX_HELD_BYTES, this.attempt.holdLimit())) this.reportHeld();
        else this.attempt.onHeld(this.heldBytes);
    }

    onEnd(orderly: boolean): void {
        if (this.hasEnded) return;
        const stopKnown = this.silence?.whenStopKnown();
        if (stopKnown) return void stopKnown.then(() => this.onEnd(orderly));
        if (!this.head) return this.reportLoss("reset", "the answer had no head");
        if (this.verdict?.kind === "refused") return this.reportRefusal();
        const isCutOff = !this.head.framed && !orderly && !NO_BODY_STATUSES.has(this.status);
        if (isCutOff) return this.reportLoss("reset", "the connection was reset before the answer's end was told");
        if (this.endsWithinEvent) return this.reportLoss("reset", "the answer ended within an event");
        if (this.silence?.mayHaveStopped) return this.reportLoss("reset", "the endpoint may have stopped the stream");
        this.hasEnded = true;
        this.releaseConnection();
        this.finish();
    }

    onBroken(err: Error): void {
        if (!this.hasEnded) this.onConnectionLost(errText(err));
    }

    private readonly onIncarnationOver = (): void => {
        if (!this.hasEnded) this.onConnectionLost("the endpoint has begun another life");
    };

    /** Reports the loss of the connection. If no byte was sent the request cannot have run, whatever the reason. */
    private onConnectionLost(detail: string): void {
        if (this.sentAt === undefined) this.reportLoss("connect", detail);
        else if (this.pauses.mayExplainClose) {
            this.reportLoss("unread", `${detail}, left unread for ${this.pauses.longestMs} ms for its caller`);
        }
        else this.reportLoss("reset", detail);
    }

    private get bodyUnreadMs(): number {
        if (this.hasEnded || this.sentAt === undefined || !this.exchange?.unsentBytes) return 0;
        return this.attempt.now() - this.sentAt;
    }

    private finish(): void {
        const { id, sink } = this.attempt;
        const isUnreported = !this.hasReported && !this.splitter;
        if (isUnreported && this.status >= MIN_FAILED_STATUS) {
            sink.report({ kind: "failedAnswer", attempt: id, generation: id }, this.pieceOf(this.takeHeld()));
            return;
        }
        if (isUnreported) this.reportPiece(this.takeHeld());
        const last = this.splitter ? this.splitter.unfinished : this.takeHeld();
        const failed = this.status >= MIN_FAILED_STATUS;
        sink.report({ kind: "finished", attempt: id, generation: id, total: this.pieces, failed }, this.pieceOf(last));
    }

    /** Whether this attempt has reported a piece. */
    private get hasReported(): boolean {
        return this.pieces > (this.attempt.alreadySent?.pieces ?? 0);
    }

    private skipRefusal(bytes: number): void {
        this.heldBytes += bytes;
        if (this.heldBytes > MAX_REFUSAL_BYTES) this.reportRefusal(false);
    }

    private reportRefusal(isWhole = true): void {
        this.hasEnded = true;
        this.stopWatching();
        if (isWhole) this.releaseConnection();
        else this.exchange?.destroy();
        if (this.status === MISDIRECTED) this.attempt.onMisdirected();
        const detail = `the endpoint refused with ${this.status}`;
        this.attempt.sink.report({ kind: "endpointRefused", attempt: this.attempt.id, detail });
    }

    private reportEvents(events: readonly ServerSentEvent[], unfinishedBytes: number): void {
        this.silence?.onEvent();
        this.attempt.onHeld(unfinishedBytes);
        const limit = Math.max(USUAL_EVENT_BYTES, this.attempt.holdLimit());
        if (unfinishedBytes > Math.min(MAX_EVENT_BYTES, limit)) {
            return this.reportLoss("invalid", `an event of more than ${unfinishedBytes} bytes`);
        }
        for (const { bytes, id, hasData } of events) {
            if (!this.mayStartWith(id)) return this.reportLoss("invalid", `event ${id} where the next one was to come`);
            this.lastDataHasNoId = id === undefined && (hasData || this.lastDataHasNoId);
            this.reportPiece(bytes, id);
        }
        if (events.length > 0) this.applyBackpressure();
    }

    /** Whether a continuation may start with this event: it must neither repeat nor skip events. */
    private mayStartWith(id: string | undefined): boolean {
        const { alreadySent } = this.attempt;
        if (alreadySent === undefined || id === undefined || this.hasCheckedFirstId) return true;
        this.hasCheckedFirstId = true;
        return canFollow(alreadySent, id);
    }

    /**
     * Whether a stream ended within an event, so that it was cut off. A first answer with a length or chunks tells its own
     * end, and is forwarded as the endpoint sent it.
     */
    private get endsWithinEvent(): boolean {
        const isPartial = this.splitter !== undefined && this.splitter.unfinished.length > 0;
        return isPartial && (this.attempt.alreadySent !== undefined || this.head?.framed === false);
    }

    private reportHeld(): void {
        this.reportPiece(this.takeHeld());
        this.applyBackpressure();
    }

    private takeHeld(): Buffer {
        const bytes = this.held.length === 1 ? this.held[0]! : Buffer.concat(this.held);
        this.held = [];
        this.attempt.onHeld(0);
        return bytes;
    }

    private reportPiece(bytes: Buffer, eventId?: string): void {
        const { id, sink } = this.attempt;
        const index = this.pieces;
        this.pieces += 1;
        sink.report({ kind: "token", attempt: id, generation: id, index }, this.pieceOf(bytes, eventId));
    }

    private pieceOf(body: Buffer, eventId?: string): AnswerPiece {
        const framed = this.head?.framed ?? true;
        const wholeLength = this.hasEnded && framed ? this.heldBytes : undefined;
        const length = this.splitter ? undefined : this.head?.length ?? wholeLength;
        return { status: this.status, headers: this.head?.forwardedHeaders ?? [], body, length, framed, eventId };
    }

    /** Pauses reading while the caller is too far behind. */
    private applyBackpressure(): void {
        const resume = (): void => {
            this.pauses.resume();
            this.silence?.resume();
            this.exchange?.resume();
        };
        if (this.attempt.whenRoom(resume)) return;
        this.pauses.pause();
        this.silence?.pause();
        this.exchange?.pause();
    }

    private stopWatching(): void {
        this.silence?.stop();
        this.firstEvent?.stop();
        this.attempt.incarnationSignal.removeEventListener("abort", this.onIncarnationOver);
    }

    private releaseConnection(): void {
        this.stopWatching();
        if (!this.head || this.head.closes || !this.head.framed) return this.exchange?.destroy();
        this.exchange?.release(this.head.keepAliveMs);
    }

    private reportLoss(loss: LossCause, detail: string): void {
        // Without the id of the last event, a copy does not know from where to continue.
        const cannotContinue = this.hasReported && (!this.splitter || this.lastDataHasNoId);
        const { id, sink } = this.attempt;
        this.abandon();
        if (!cannotContinue) sink.report({ kind: "lost", attempt: id, cause: loss, detail });
        else if (loss === "unread") sink.report({ kind: "givenUp", code: FailCode.CallerUnread, detail });
        else sink.report({ kind: "lost", attempt: id, cause: "invalid", detail });
    }

    private onAbort(): void {
        if (!this.hasEnded) this.abandon();
    }

    private abandon(): void {
        const unreadMs = this.bodyUnreadMs;
        if (unreadMs >= SLOW_READER_MS) this.attempt.onBodyUnread(this.exchange!.unsentBytes, Math.round(unreadMs));
        this.hasEnded = true;
        this.stopWatching();
        this.held = [];
        this.attempt.onHeld(0);
        this.exchange?.destroy();
    }
}
