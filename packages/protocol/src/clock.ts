/**
 * The one clock that decisions are given: it counts the time that the host was suspended, and never goes back.
 *
 * The steady clock of Node.js stands still while a host is suspended, and timers with it; nothing is late when it wakes. The time of
 * day goes on, but it may also be set. So a jump of the time of day is a suspicion, and a host that suspects refreshes what it knows;
 * time counts as suspended only where the system's boot clock has jumped as well. That one costs a file to read, so it is read every
 * ten seconds and at each suspicion.
 *
 * @module
 */
import { uptime } from "node:os";

/** What was found when a host woke, or when its time of day was set forward. */
export interface Wake {
    /** How long it was suspended, in milliseconds, within {@link BOOT_STEP_MS}; 0 where that is only suspected. */
    readonly suspendedMs: number;
    /** How far the time of day has jumped, in milliseconds. */
    readonly jumpMs: number;
}

/** The clock that a host's parts are given. */
export interface Clock {
    /** Milliseconds that have passed, suspensions included. The first call after a wake calls its listeners before it returns. */
    now(): number;
    /** Milliseconds that the host was awake. */
    awake(): number;
    /** Calls back after each wake, or what may be one. */
    onWake(listener: (wake: Wake) => void): void;
}

/** Where a clock reads the time, in milliseconds. */
export interface ClockSources {
    /** Stands still while the host is suspended. */
    steady(): number;
    /** Goes on meanwhile, and may be set at any time. */
    timeOfDay(): number;
    /** Goes on meanwhile and is never set; coarse. */
    boot(): number;
}

/** What the system gives: `os.uptime()` reads `/proc/uptime`, in steps of 10 ms, in some 9 microseconds (steady clock: 0.2). */
export const SYSTEM_SOURCES: ClockSources = {
    steady: () => performance.now(),
    timeOfDay: () => Date.now(),
    boot: () => uptime() * 1_000,
};

/** The boot clock's step and what passes between two readings. */
export const BOOT_STEP_MS = 20;
/** Shorter jumps are a clock that is slewed, or a host that was held up between two readings. */
const SUSPECT_MS = 200;
/** Two clocks that jumped by the same, within what a time of day may be set by as the host wakes, show a suspension. */
const AGREE_MS = 500;
/** The boot clock is held against the steady one this often. */
const CHECK_EVERY_MS = 10_000;
/** A boot clock that differs by more in that time, without a suspicion, is of another machine than this one, and is not asked again. */
const FOREIGN_MS = 100;

/**
 * Creates a clock.
 *
 * @example
 * ```ts
 * const clock = createClock();
 * clock.onWake(({ suspendedMs }) => log.warn({ suspended_ms: suspendedMs }, "host_woke"));
 * ```
 */
export function createClock(sources: ClockSources = SYSTEM_SOURCES): Clock {
    return new SuspendingClock(sources);
}

class SuspendingClock implements Clock {
    private suspendedMs = 0;
    private steady: number;
    private timeOfDay: number;
    /** The boot clock against the steady one, when they were last compared. */
    private boot: { readonly offset: number; readonly at: number };
    /** Whether the boot clock was found to keep the steady clock's pace; undefined before the first check. */
    private isBootOurs: boolean | undefined;
    private readonly listeners = new Set<(wake: Wake) => void>();

    constructor(private readonly sources: ClockSources) {
        this.steady = sources.steady();
        this.timeOfDay = sources.timeOfDay();
        this.boot = this.readBoot(this.steady);
    }

    now(): number {
        const steady = this.sources.steady();
        const timeOfDay = this.sources.timeOfDay();
        const jumpMs = timeOfDay - this.timeOfDay - (steady - this.steady);
        this.steady = steady;
        this.timeOfDay = timeOfDay;
        if (jumpMs >= SUSPECT_MS) this.suspect(steady, jumpMs);
        else if (steady - this.boot.at >= CHECK_EVERY_MS && this.isBootOurs !== false) this.check(steady);
        return steady + this.suspendedMs;
    }

    awake(): number {
        return this.sources.steady();
    }

    onWake(listener: (wake: Wake) => void): void {
        this.listeners.add(listener);
    }

    /** The time of day has jumped: a suspension, if the boot clock has too. */
    private suspect(steady: number, jumpMs: number): void {
        let suspendedMs = 0;
        if (this.isBootOurs === true) {
            const before = this.boot;
            this.boot = this.readBoot(steady);
            const gainedMs = this.boot.offset - before.offset;
            if (Math.abs(gainedMs - jumpMs) <= AGREE_MS) suspendedMs = gainedMs;
        }
        this.suspendedMs += suspendedMs;
        for (const listener of this.listeners) listener({ suspendedMs, jumpMs });
    }

    private check(steady: number): void {
        const before = this.boot;
        this.boot = this.readBoot(steady);
        this.isBootOurs = Math.abs(this.boot.offset - before.offset) < FOREIGN_MS;
    }

    private readBoot(steady: number): { readonly offset: number; readonly at: number } {
        return { offset: this.sources.boot() - steady, at: steady };
    }
}
