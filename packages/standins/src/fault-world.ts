/**
 * A world for one request: the production state machine on one side, small fake engines on the other, and an account of
 * what truly happened (which engine ran it, what the caller was given), by which the promises are judged.
 *
 * @module
 */
import {
    createRequest,
    FailCode,
    Phase,
    type RequestAction,
    type RequestError,
    type RequestEvent,
    type RequestState,
    step,
} from "@drumpaddle/request";

/** How the request is made. */
export interface WorldCfg {
    readonly repeatable: boolean;
    readonly streamed: boolean;
    readonly tokens: number;
    readonly maxAttempts?: number;
    readonly maxResumes?: number;
}

/** A connection from the host to an engine, as the engine sees it. */
export interface Connection {
    readonly attempt: string;
    readonly endpoint: string;
    /** Undefined until the engine has begun. */
    generation: string | undefined;
    /** Index of the next token that this connection will carry. */
    next: number;
    open: boolean;
}

/** A token as the caller was given it. */
export interface Delivered {
    readonly generation: string;
    readonly index: number;
}

/** A broken promise, in words. */
export type Breach = string;

const ENDPOINTS = ["e1", "e2", "e3"] as const;

/** One request with all that happened to it. */
export class World {
    state: RequestState;
    /** What the caller has been given; what is held back is not counted. */
    readonly delivered: Delivered[] = [];
    private held: Delivered[] = [];
    /** Attempts that an engine began to run. */
    readonly ran: string[] = [];
    readonly breaches: Breach[] = [];
    connection: Connection | undefined;
    /** Generations that engines still have. */
    readonly alive = new Map<string, { readonly attempt: string; readonly endpoint: string }>();
    dispatches = 0;
    waiting = false;
    /** Whether no attempt may be begun any more. */
    isQuarantined = false;
    ended:
        | { readonly kind: "whole"; readonly tokens: number }
        | { readonly kind: "failed"; readonly err: RequestError }
        | undefined;
    private made = 0;
    private lastEvent: RequestEvent | undefined;

    constructor(readonly cfg: WorldCfg) {
        const { state, actions } = createRequest({
            id: "r",
            repeatable: cfg.repeatable,
            streamed: cfg.streamed,
            maxAttempts: cfg.maxAttempts ?? 3,
            maxResumes: cfg.maxResumes ?? 2,
            deadline: 1_000_000,
        });
        this.state = state;
        for (const action of actions) this.carryOut(action);
    }

    /** Gives the state machine an event and carries out what it asks. */
    event(event: RequestEvent): void {
        this.lastEvent = event;
        const { state, actions } = step(this.state, event);
        this.state = state;
        for (const action of actions) this.carryOut(action);
    }

    private carryOut(action: RequestAction): void {
        if (this.ended && action.kind !== "cancel") this.breaches.push(`${action.kind} after the end`);
        const handler = this.handlers[action.kind] as (action: RequestAction) => void;
        handler(action);
    }

    private readonly handlers: {
        readonly [K in RequestAction["kind"]]: (action: Extract<RequestAction, { kind: K }>) => void;
    } = {
        admit: () => {
            // The engine refused or was given up: it begins nothing any more.
            this.connection = undefined;
            this.waiting = true;
        },
        // No endpoint of this world keeps copies.
        admitCopy: () => undefined,
        dispatch: ({ attempt, endpoint }) => {
            this.waiting = false;
            if (this.isQuarantined) {
                this.event({ kind: "withheld", code: FailCode.Quarantined, detail: "it ended three endpoints" });
                return;
            }
            this.dispatches += 1;
            if (!this.cfg.repeatable && this.ran.length > 0) {
                this.breaches.push("dispatched again after it may have run");
            }
            this.connection = { attempt, endpoint, generation: undefined, next: 0, open: true };
        },
        forward: ({ index }) => {
            const event = this.lastEvent;
            const generation = event?.kind === "token" ? event.generation : "none";
            (this.cfg.streamed ? this.delivered : this.held).push({ generation, index });
        },
        dropHeld: () => {
            this.held = [];
        },
        resume: ({ attempt, endpoint, generation, from }) => {
            this.connection = { attempt, endpoint, generation, next: from, open: true };
        },
        cancel: ({ generation }) => {
            if (generation !== undefined) this.alive.delete(generation);
            this.connection = undefined;
        },
        complete: ({ tokens }) => {
            if (!this.cfg.streamed) this.delivered.push(...this.held);
            this.ended = { kind: "whole", tokens };
            if (this.delivered.length !== this.cfg.tokens) {
                this.breaches.push(`called whole with ${this.delivered.length} tokens`);
            }
        },
        fail: ({ err }) => {
            this.ended = { kind: "failed", err };
            if (err.ran === "no" && this.ran.length > 0) this.breaches.push("said not run, but it ran");
        },
    };

    /** Gives the waiting request an endpoint that it does not avoid. */
    admit(): void {
        const endpoint = ENDPOINTS.find(name => !this.state.avoid.includes(name)) ?? ENDPOINTS[0];
        this.event({ kind: "admitted", endpoint });
    }

    /** The first byte leaves. */
    send(): void {
        if (this.connection) this.event({ kind: "sending", attempt: this.connection.attempt });
    }

    /** The engine begins to run, which it can only once bytes may have left. */
    begin(): void {
        const connection = this.connection;
        const sent = connection && this.state.record.sent.includes(connection.attempt);
        if (!sent || connection.generation !== undefined) return;
        connection.generation = `g${++this.made}`;
        this.ran.push(connection.attempt);
        this.alive.set(connection.generation, { attempt: connection.attempt, endpoint: connection.endpoint });
    }

    /** The engine's head arrives. */
    open(): void {
        const connection = this.connection;
        if (connection?.generation === undefined) return;
        this.event({ kind: "opened", attempt: connection.attempt, generation: connection.generation });
    }

    /** The next token arrives, or the end. */
    token(): void {
        const connection = this.connection;
        if (connection?.generation === undefined || !connection.open) return;
        const { attempt, generation } = connection;
        const before = this.state.attempt;
        if (connection.next >= this.cfg.tokens) {
            this.event({ kind: "finished", attempt, generation, total: this.cfg.tokens });
        }
        else this.event({ kind: "token", attempt, generation, index: connection.next++ });
        // As the engine client does: a stream that moves nothing on is silent, and the idle limit ends it.
        if (this.state.attempt === before && !this.ended) this.lose("idle");
    }

    /** The connection breaks. */
    lose(cause: Extract<RequestEvent, { kind: "lost" }>["cause"] = "reset"): void {
        const connection = this.connection;
        if (!connection) return;
        connection.open = false;
        this.event({ kind: "lost", attempt: connection.attempt, cause, detail: cause });
    }

    /** The engine is gone with the generation: a resume is refused. */
    reclaim(): void {
        if (this.connection?.generation !== undefined) this.alive.delete(this.connection.generation);
        this.lose("reset");
    }

    /** Lets everything go well from here until the request ends. */
    finish(): void {
        for (let round = 0; round < 200 && !this.ended; round++) this.advance();
    }

    /** One good step of whatever comes next. */
    advance(): void {
        if (this.ended) return;
        if (this.waiting) return this.admit();
        const connection = this.connection;
        if (!connection?.open) return;
        if (this.state.phase === Phase.Dispatched && !this.state.record.sent.includes(connection.attempt)) {
            return this.send();
        }
        if (connection.generation === undefined) {
            this.begin();
            return this.open();
        }
        if (!this.alive.has(connection.generation)) return this.lose("resumeRefused");
        if (this.state.attempt?.resuming) return this.open();
        this.token();
    }

    /** All promises that were broken. */
    check(): readonly Breach[] {
        const breaches = [...this.breaches];
        const generations = new Set(this.delivered.map(token => token.generation));
        if (generations.size > 1) breaches.push(`tokens of ${generations.size} generations`);
        if (this.delivered.some((token, at) => token.index !== at)) {
            breaches.push("tokens out of order, twice or missing");
        }
        if (!this.cfg.repeatable && this.ran.length > 1) breaches.push(`ran ${this.ran.length} times`);
        return breaches;
    }

    /** How it ended, in words for the table. */
    outcome(): string {
        if (!this.ended) return "open";
        if (this.ended.kind === "whole") return this.dispatches > 1 ? "whole after retry" : "whole";
        const { code, ran } = this.ended.err;
        return code === FailCode.CallerGone ? "caller gone" : `${code}, ran ${ran}`;
    }
}
