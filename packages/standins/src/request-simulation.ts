/**
 * Simulates one request: drives the production state machine with events from simple fake engines, and records what
 * really happened (which attempts an engine ran, which tokens the caller received). The guarantees to callers are
 * checked against this record.
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

/** Properties of the simulated request. */
export interface SimulationCfg {
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
    /** Undefined until the engine starts to generate. */
    generation: string | undefined;
    /** Index of the next token that the engine sends on this connection. */
    nextIndex: number;
    isOpen: boolean;
}

/** A token that the caller received. */
export interface DeliveredToken {
    readonly generation: string;
    readonly index: number;
}

/** A description of a guarantee that the state machine violated. */
export type Violation = string;

const ENDPOINTS = ["e1", "e2", "e3"] as const;

/** One request, the connection to its current engine, and the record of what happened. */
export class RequestSimulation {
    state: RequestState;
    /** Tokens that the caller received. Tokens buffered for an answer that is not streamed are not included. */
    readonly delivered: DeliveredToken[] = [];
    private bufferedTokens: DeliveredToken[] = [];
    /** Attempts that an engine started to run, in order. */
    readonly runs: string[] = [];
    readonly violations: Violation[] = [];
    connection: Connection | undefined;
    /** Generations that still exist at an engine and can be resumed. */
    readonly liveGenerations = new Map<string, { readonly attempt: string; readonly endpoint: string }>();
    dispatchCount = 0;
    isAwaitingAdmission = false;
    /** While true, each dispatch is withheld because the request is quarantined. */
    isQuarantined = false;
    finalResult:
        | { readonly kind: "whole"; readonly tokens: number }
        | { readonly kind: "failed"; readonly err: RequestError }
        | undefined;
    private generationCount = 0;
    private lastEvent: RequestEvent | undefined;

    constructor(readonly cfg: SimulationCfg) {
        const { state, actions } = createRequest({
            id: "r",
            repeatable: cfg.repeatable,
            streamed: cfg.streamed,
            maxAttempts: cfg.maxAttempts ?? 3,
            maxResumes: cfg.maxResumes ?? 2,
            deadline: 1_000_000,
        });
        this.state = state;
        for (const action of actions) this.execute(action);
    }

    /** Passes an event to the state machine and executes the actions that it returns. */
    handle(event: RequestEvent): void {
        this.lastEvent = event;
        const { state, actions } = step(this.state, event);
        this.state = state;
        for (const action of actions) this.execute(action);
    }

    private execute(action: RequestAction): void {
        if (this.finalResult && action.kind !== "cancel") this.violations.push(`${action.kind} after the end`);
        const handler = this.actionHandlers[action.kind] as (action: RequestAction) => void;
        handler(action);
    }

    private readonly actionHandlers: {
        readonly [K in RequestAction["kind"]]: (action: Extract<RequestAction, { kind: K }>) => void;
    } = {
        admit: () => {
            // The previous engine refused the request or was abandoned, so its connection is no longer used.
            this.connection = undefined;
            this.isAwaitingAdmission = true;
        },
        // The simulated endpoints hold no copies of generations.
        admitCopy: () => undefined,
        dispatch: ({ attempt, endpoint }) => {
            this.isAwaitingAdmission = false;
            if (this.isQuarantined) {
                this.handle({
                    kind: "withheld",
                    code: FailCode.Quarantined,
                    detail: "the request crashed three endpoints",
                });
                return;
            }
            this.dispatchCount += 1;
            if (!this.cfg.repeatable && this.runs.length > 0) {
                this.violations.push("dispatched again although it may have run");
            }
            this.connection = { attempt, endpoint, generation: undefined, nextIndex: 0, isOpen: true };
        },
        forward: ({ index }) => {
            const event = this.lastEvent;
            const generation = event?.kind === "token" ? event.generation : "none";
            (this.cfg.streamed ? this.delivered : this.bufferedTokens).push({ generation, index });
        },
        dropHeld: () => {
            this.bufferedTokens = [];
        },
        resume: ({ attempt, endpoint, generation, from }) => {
            this.connection = { attempt, endpoint, generation, nextIndex: from, isOpen: true };
        },
        cancel: ({ generation }) => {
            if (generation !== undefined) this.liveGenerations.delete(generation);
            this.connection = undefined;
        },
        complete: ({ tokens }) => {
            if (!this.cfg.streamed) this.delivered.push(...this.bufferedTokens);
            this.finalResult = { kind: "whole", tokens };
            if (this.delivered.length !== this.cfg.tokens) {
                this.violations.push(`reported whole with ${this.delivered.length} tokens`);
            }
        },
        fail: ({ err }) => {
            this.finalResult = { kind: "failed", err };
            if (err.ran === "no" && this.runs.length > 0) this.violations.push("said not run, but ran");
        },
    };

    /** Admits the waiting request to an endpoint that it does not avoid, or to the first one if it avoids all. */
    admit(): void {
        const endpoint = ENDPOINTS.find(name => !this.state.avoid.includes(name)) ?? ENDPOINTS[0];
        this.handle({ kind: "admitted", endpoint });
    }

    /** Reports that the first byte of the current attempt is sent. */
    sendFirstByte(): void {
        if (this.connection) this.handle({ kind: "sending", attempt: this.connection.attempt });
    }

    /** The engine starts to generate. It cannot before bytes of the attempt may have been sent. */
    startGeneration(): void {
        const connection = this.connection;
        const sent = connection && this.state.record.sent.includes(connection.attempt);
        if (!sent || connection.generation !== undefined) return;
        connection.generation = `g${++this.generationCount}`;
        this.runs.push(connection.attempt);
        this.liveGenerations.set(connection.generation, { attempt: connection.attempt, endpoint: connection.endpoint });
    }

    /** Reports that the head of the engine's answer arrived. */
    receiveHead(): void {
        const connection = this.connection;
        if (connection?.generation === undefined) return;
        this.handle({ kind: "opened", attempt: connection.attempt, generation: connection.generation });
    }

    /** Reports the engine's next token, or the end of the generation after the last one. */
    receiveToken(): void {
        const connection = this.connection;
        if (connection?.generation === undefined || !connection.isOpen) return;
        const { attempt, generation } = connection;
        const before = this.state.attempt;
        if (connection.nextIndex >= this.cfg.tokens) {
            this.handle({ kind: "finished", attempt, generation, total: this.cfg.tokens });
        }
        else this.handle({ kind: "token", attempt, generation, index: connection.nextIndex++ });
        // As in the engine client, a stream whose events make no progress counts as silent and runs into the idle
        // timeout.
        if (this.state.attempt === before && !this.finalResult) this.breakConnection("idle");
    }

    /** Breaks the connection to the engine; its generation remains. */
    breakConnection(cause: Extract<RequestEvent, { kind: "lost" }>["cause"] = "reset"): void {
        const connection = this.connection;
        if (!connection) return;
        connection.isOpen = false;
        this.handle({ kind: "lost", attempt: connection.attempt, cause, detail: cause });
    }

    /** Breaks the connection and removes the generation, so that the engine refuses to resume it. */
    loseGeneration(): void {
        if (this.connection?.generation !== undefined) this.liveGenerations.delete(this.connection.generation);
        this.breakConnection("reset");
    }

    /** Advances without further faults until the request ends. */
    runToEnd(): void {
        for (let round = 0; round < 200 && !this.finalResult; round++) this.advance();
    }

    /** Performs the next step of the request without a fault. */
    advance(): void {
        if (this.finalResult) return;
        if (this.isAwaitingAdmission) return this.admit();
        const connection = this.connection;
        if (!connection?.isOpen) return;
        if (this.state.phase === Phase.Dispatched && !this.state.record.sent.includes(connection.attempt)) {
            return this.sendFirstByte();
        }
        if (connection.generation === undefined) {
            this.startGeneration();
            return this.receiveHead();
        }
        if (!this.liveGenerations.has(connection.generation)) return this.breakConnection("resumeRefused");
        if (this.state.attempt?.resuming) return this.receiveHead();
        this.receiveToken();
    }

    /** Returns all violations of the guarantees so far. */
    findViolations(): readonly Violation[] {
        const violations = [...this.violations];
        const generations = new Set(this.delivered.map(token => token.generation));
        if (generations.size > 1) violations.push(`delivered tokens of ${generations.size} generations`);
        if (this.delivered.some((token, index) => token.index !== index)) {
            violations.push("delivered tokens out of order, twice or with gaps");
        }
        if (!this.cfg.repeatable && this.runs.length > 1) violations.push(`ran ${this.runs.length} times`);
        return violations;
    }

    /** Describes how the request ended, as the fault matrix prints it. */
    describeOutcome(): string {
        if (!this.finalResult) return "open";
        if (this.finalResult.kind === "whole") return this.dispatchCount > 1 ? "whole after retry" : "whole";
        const { code, ran } = this.finalResult.err;
        return code === FailCode.CallerGone ? "caller gone" : `${code}, ran ${ran}`;
    }
}
