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
    type WholeEvent,
} from "@drumpaddle/protocol";
import { FailCode, type LossCause } from "@drumpaddle/request";
import type { EndpointEntry } from "@drumpaddle/routes";
import type { EndpointConnections, Exchange, ExchangeSink } from "../endpoints/endpoint-connections.js";
import { isStream, judgeAnswer, mayFollow, MISDIRECTED, type SentBefore, type Verdict } from "./judge-answer.js";
import type { AttemptSink } from "./run.js";
import { type SilenceCfg, SilenceWatch } from "./silence-watch.js";
import { UNREAD_MS, UnreadAnswer } from "./unread-answer.js";

/** A part of an answer on its way to the caller. */
export interface AnswerPiece {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
    /** Length of the whole body; undefined where it is not known yet. */
    readonly length: number | undefined;
    /** False where only the end of its connection ends the answer: the caller must see it end likewise. */
    readonly framed: boolean;
    /** Id of the event that it is, where it is one. */
    readonly event: string | undefined;
}

/** One attempt of a forwarded call. */
export interface ForwardAttempt {
    readonly id: string;
    readonly endpoint: EndpointEntry;
    readonly method: string;
    readonly path: string;
    readonly send: SendHead;
    readonly body: Buffer | undefined;
    /** What has gone to the caller of an earlier attempt's answer; undefined where nothing has. */
    readonly before: SentBefore | undefined;
    /** How a stream that falls silent is taken for lost; undefined where nothing is won by that. */
    readonly silence: SilenceCfg | undefined;
    readonly sink: AttemptSink<AnswerPiece>;
    /** Calls back when more of the answer may be read, if it may not be now; returns whether it may be. */
    readonly whenRoom: (resume: () => void) => boolean;
    /** How much of the answer may be held until it is whole, in bytes. */
    readonly holdLimit: () => number;
    /** Told how much of the answer is held now, in bytes. */
    readonly onHeld: (bytes: number) => void;
    /** Told how to learn for how long the endpoint has left the body unread, in milliseconds; 0 where it has taken it all. */
    readonly onBody: (unreadMs: () => number) => void;
    /** Told, where the attempt is given up, what of the body its endpoint had not read for a while. */
    readonly onBodyUnread: (bytes: number, ms: number) => void;
    /** The time, in milliseconds. */
    readonly now: () => number;
    /** Told of each answer's status and head, before anything of it is reported. */
    readonly onAnswered: (status: number, head: AnswerHead) => void;
    /** Told what the endpoint says of itself in an answer that is surely its own. */
    readonly onSaid: (status: number, said: AnswerHead) => void;
    /** Told when the endpoint refuses because it is another one than the call names. */
    readonly onOtherIncarnation: () => void;
    /** Aborts when the endpoint is known to have begun a later life: the connection may stay silent for good. */
    readonly life: AbortSignal;
    readonly signal: AbortSignal;
}

/** Answers up to this size are held until they are whole, so that a broken one can be tried elsewhere or refused. */
const HELD_BYTES = 262_144;
/** An event is passed on whole; one above this is taken in only where there is room for it. */
const LARGEST_EVENT_BYTES = 1_000_000;
/** An endpoint's answer with this status or above is its own failure. */
const FAILED_STATUS = 500;
/** Statuses whose answers never have a body. */
export const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

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

class Answering implements ExchangeSink {
    private exchange: Exchange | undefined;
    private status = 0;
    private head: AnswerHead | undefined;
    private verdict: Verdict | undefined;
    private splitter: EventSplitter | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private pieces: number;
    /** Whether the first event with an id was held against what went out before. */
    private firstIdChecked = false;
    /** Whether the last event that was passed on carries data and no id. */
    private unnamed = false;
    private over = false;
    private sentAt: number | undefined;
    private readonly unread: UnreadAnswer;
    private readonly silence: SilenceWatch | undefined;

    constructor(
        private readonly connections: EndpointConnections,
        private readonly wire: PlatformWire,
        private readonly attempt: ForwardAttempt,
    ) {
        this.pieces = attempt.before?.pieces ?? 0;
        this.unread = new UnreadAnswer(attempt.now);
        const { silence } = attempt;
        this.silence = silence && new SilenceWatch(silence, detail => this.lose("idle", detail));
    }

    start(): void {
        const { endpoint, method, path, send, body, life, signal } = this.attempt;
        signal.addEventListener("abort", () => this.cut(), { once: true });
        life.addEventListener("abort", this.onLifeOver, { once: true });
        const call = { method, path, headers: this.wire.writeSend(send), body };
        this.attempt.onBody(() => this.bodyUnreadMs);
        this.exchange = this.connections.send(endpoint.address, call, this);
        if (this.over) this.exchange.destroy();
    }

    onSending(): void {
        this.sentAt = this.attempt.now();
        this.attempt.sink.event({ kind: "sending", attempt: this.attempt.id });
    }

    onHead(status: number, headers: RawHeaders): void {
        // An informational head; the answer's own is to come.
        if (this.over || status < 200) return;
        const { id, send, sink, before, onAnswered, onSaid } = this.attempt;
        this.status = status;
        this.head = this.wire.readAnswer(headers);
        onAnswered(status, this.head);
        // A surplus answer is late, and one that was misdirected is another endpoint's.
        if (this.head.id === send.call.id && status !== MISDIRECTED) onSaid(status, this.head);
        this.verdict = judgeAnswer(send.call.id, status, this.head, before);
        if (this.verdict.kind === "invalid") return this.lose("invalid", this.verdict.detail);
        if (this.verdict.kind === "refused") return;
        sink.event({ kind: "opened", attempt: id, generation: id });
        if (isStream(status, this.head)) this.splitter = new EventSplitter();
    }

    onData(chunk: Buffer): void {
        if (this.over || this.verdict?.kind !== "take") return;
        if (this.splitter) return this.passEvents(this.splitter.push(chunk), this.splitter.unfinished.length);
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        // Where memory is short, an answer is passed on as it comes, and can then not be asked for elsewhere.
        if (this.hasSent || this.heldBytes > Math.min(HELD_BYTES, this.attempt.holdLimit())) this.passHeld();
        else this.attempt.onHeld(this.heldBytes);
    }

    onEnd(orderly: boolean): void {
        if (this.over) return;
        if (!this.head) return this.lose("reset", "the answer had no head");
        if (this.verdict?.kind === "refused") return this.refuse();
        const cut = !this.head.framed && !orderly && !NO_BODY_STATUSES.has(this.status);
        if (cut) return this.lose("reset", "the connection was reset before the answer's end was told");
        if (this.endsWithinEvent) return this.lose("reset", "the answer ended within an event");
        this.over = true;
        this.releaseConnection();
        this.finish();
    }

    onBroken(err: Error): void {
        if (!this.over) this.breakOff(errText(err));
    }

    private readonly onLifeOver = (): void => {
        if (!this.over) this.breakOff("the endpoint has begun another life");
    };

    /** Before its first byte left nothing can have run, whatever the reason; after it that is unknown. */
    private breakOff(detail: string): void {
        if (this.sentAt === undefined) this.lose("connect", detail);
        else if (this.unread.mayBeCutOff) {
            this.lose("unread", `${detail}, left unread for ${this.unread.ms} ms for its caller`);
        }
        else this.lose("reset", detail);
    }

    private get bodyUnreadMs(): number {
        if (this.over || this.sentAt === undefined || !this.exchange?.unsentBytes) return 0;
        return this.attempt.now() - this.sentAt;
    }

    private finish(): void {
        const { id, sink } = this.attempt;
        const whole = !this.hasSent && !this.splitter;
        if (whole && this.status >= FAILED_STATUS) {
            sink.event({ kind: "failedAnswer", attempt: id, generation: id }, this.piece(this.takeHeld()));
            return;
        }
        if (whole) this.pass(this.takeHeld());
        const last = this.splitter ? this.splitter.unfinished : this.takeHeld();
        const failed = this.status >= FAILED_STATUS;
        sink.event({ kind: "finished", attempt: id, generation: id, total: this.pieces, failed }, this.piece(last));
    }

    /** Whether a part of the answer has gone on already. */
    private get hasSent(): boolean {
        return this.pieces > (this.attempt.before?.pieces ?? 0);
    }

    private refuse(): void {
        this.over = true;
        this.releaseConnection();
        if (this.status === MISDIRECTED) this.attempt.onOtherIncarnation();
        const detail = `the endpoint refused with ${this.status}`;
        this.attempt.sink.event({ kind: "endpointRefused", attempt: this.attempt.id, detail });
    }

    private passEvents(events: readonly WholeEvent[], unfinishedBytes: number): void {
        this.silence?.heard();
        this.attempt.onHeld(unfinishedBytes);
        if (unfinishedBytes > Math.max(LARGEST_EVENT_BYTES, this.attempt.holdLimit())) {
            return this.lose("invalid", `an event of more than ${unfinishedBytes} bytes`);
        }
        for (const { bytes, id, hasData } of events) {
            if (!this.fits(id)) return this.lose("invalid", `event ${id} where the next one was to come`);
            this.unnamed = id === undefined && (hasData || this.unnamed);
            this.pass(bytes, id);
        }
        if (events.length > 0) this.holdBack();
    }

    /** Whether an event may come here: a continuation that starts over or leaves some out does not fit what has gone out. */
    private fits(id: string | undefined): boolean {
        const { before } = this.attempt;
        if (before === undefined || id === undefined || this.firstIdChecked) return true;
        this.firstIdChecked = true;
        return mayFollow(before, id);
    }

    /**
     * Whether a stream ended in the middle of an event that another endpoint can still give whole. A first answer whose
     * bytes tell its end, or that has no copy, is passed on as its endpoint made it.
     */
    private get endsWithinEvent(): boolean {
        const partial = this.splitter !== undefined && this.splitter.unfinished.length > 0;
        const { before, send } = this.attempt;
        return partial && (before !== undefined || this.head?.framed === false && send.backUpTo !== undefined);
    }

    private passHeld(): void {
        this.pass(this.takeHeld());
        this.holdBack();
    }

    private takeHeld(): Buffer {
        const bytes = this.held.length === 1 ? this.held[0]! : Buffer.concat(this.held);
        this.held = [];
        this.attempt.onHeld(0);
        return bytes;
    }

    private pass(bytes: Buffer, event?: string): void {
        const { id, sink } = this.attempt;
        const index = this.pieces;
        this.pieces += 1;
        sink.event({ kind: "token", attempt: id, generation: id, index }, this.piece(bytes, event));
    }

    private piece(body: Buffer, event?: string): AnswerPiece {
        const framed = this.head?.framed ?? true;
        const whole = this.over && framed ? this.heldBytes : undefined;
        const length = this.splitter ? undefined : this.head?.length ?? whole;
        return { status: this.status, headers: this.head?.passed ?? [], body, length, framed, event };
    }

    /** Reads no further where the caller is too far behind. */
    private holdBack(): void {
        const goOn = (): void => {
            this.unread.readOn();
            this.silence?.resume();
            this.exchange?.resume();
        };
        if (this.attempt.whenRoom(goOn)) return;
        this.unread.holdBack();
        this.silence?.pause();
        this.exchange?.pause();
    }

    /** Nothing more is waited for. */
    private endWatches(): void {
        this.silence?.stop();
        this.attempt.life.removeEventListener("abort", this.onLifeOver);
    }

    private releaseConnection(): void {
        this.endWatches();
        if (!this.head || this.head.closes || !this.head.framed) return this.exchange?.destroy();
        this.exchange?.release(this.head.keepAliveMs);
    }

    private lose(loss: LossCause, detail: string): void {
        // What went out last has no id, so no copy can be told where to go on.
        const cannotContinue = this.hasSent && (!this.splitter || this.unnamed);
        const { id, sink } = this.attempt;
        this.abandon();
        if (!cannotContinue) sink.event({ kind: "lost", attempt: id, cause: loss, detail });
        else if (loss === "unread") sink.event({ kind: "givenUp", code: FailCode.CallerUnread, detail });
        else sink.event({ kind: "lost", attempt: id, cause: "invalid", detail });
    }

    private cut(): void {
        if (!this.over) this.abandon();
    }

    private abandon(): void {
        const unreadMs = this.bodyUnreadMs;
        if (unreadMs >= UNREAD_MS) this.attempt.onBodyUnread(this.exchange!.unsentBytes, Math.round(unreadMs));
        this.over = true;
        this.endWatches();
        this.held = [];
        this.attempt.onHeld(0);
        this.exchange?.destroy();
    }
}
