/**
 * A monotonic clock that includes the time for which the host was suspended.
 *
 * The monotonic clock of Node.js and its timers stop while a host is suspended, so that after a wake no timeout appears to be overdue.
 * The time of day continues, but it may also be set. A forward jump of the time of day is therefore reported to the listeners as a
 * possible suspension, and the host refreshes its knowledge; it is added to the clock only if the system's boot clock has jumped by the
 * same time. Reading the boot clock means reading a file, so it is read only every ten seconds and after each jump.
 *
 * @module
 */
import { uptime } from "node:os";

/** A forward jump of the time of day: the host was suspended, or its time of day was set. */
export interface Wake {
    /** Duration of the suspension in milliseconds, accurate to {@link SUSPENSION_ERROR_MS}; 0 if the boot clock does not confirm one. */
    readonly suspendedMs: number;
    /** How far the time of day has jumped ahead of the monotonic clock, in milliseconds. */
    readonly jumpMs: number;
}

/** The clock that all parts of a host share. */
export interface Clock {
    /** Elapsed milliseconds, suspensions included. The first call after a wake calls the listeners before it returns. */
    now(): number;
    /** Elapsed milliseconds, suspensions excluded. */
    awakeMs(): number;
    /** Registers a listener for each jump of the time of day, which may be a wake from suspension. */
    onWake(listener: (wake: Wake) => void): void;
}

/** The system clocks that a {@link Clock} combines, in milliseconds. */
export interface ClockSources {
    /** Monotonic; stops while the host is suspended. */
    monotonic(): number;
    /** Continues during a suspension, and may be set at any time. */
    timeOfDay(): number;
    /** Continues during a suspension and is never set; has a coarse resolution. */
    boot(): number;
}

/** The clocks of the operating system. `os.uptime()` reads `/proc/uptime` in steps of 10 ms and takes 9 µs (monotonic clock: 0.2 µs). */
export const SYSTEM_CLOCK_SOURCES: ClockSources = {
    monotonic: () => performance.now(),
    timeOfDay: () => Date.now(),
    boot: () => uptime() * 1_000,
};

/** Error of a measured suspension: the step of the boot clock, and the time between the readings of two clocks. */
export const SUSPENSION_ERROR_MS = 20;
/** Shorter jumps come from a clock that is being slewed, or from a delay between the readings of two clocks. */
const MIN_JUMP_MS = 200;
/** Largest difference between the jumps of both clocks in a suspension: the time of day may be adjusted as the host wakes. */
const JUMP_TOLERANCE_MS = 500;
/** How often the boot clock is compared with the monotonic clock. */
const BOOT_CHECK_MS = 10_000;
/** A boot clock that drifts further in that interval, without a jump, belongs to another machine and is not read again. */
const MAX_BOOT_DRIFT_MS = 100;

/**
 * Creates a clock.
 *
 * @example
 * ```ts
 * const clock = createClock();
 * clock.onWake(({ suspendedMs }) => log.warn({ suspended_ms: suspendedMs }, "host_woke"));
 * ```
 */
export function createClock(sources: ClockSources = SYSTEM_CLOCK_SOURCES): Clock {
    return new SuspendingClock(sources);
}

class SuspendingClock implements Clock {
    private totalSuspendedMs = 0;
    private lastAwakeMs: number;
    private lastTimeOfDay: number;
    /** Offset of the boot clock from the monotonic clock when they were last compared, and when that was. */
    private lastBoot: { readonly offset: number; readonly at: number };
    /** Whether the boot clock runs at the rate of the monotonic clock; undefined before the first check. */
    private isBootReliable: boolean | undefined;
    private readonly listeners = new Set<(wake: Wake) => void>();

    constructor(private readonly sources: ClockSources) {
        this.lastAwakeMs = sources.monotonic();
        this.lastTimeOfDay = sources.timeOfDay();
        this.lastBoot = this.readBoot(this.lastAwakeMs);
    }

    now(): number {
        const awakeMs = this.sources.monotonic();
        const timeOfDay = this.sources.timeOfDay();
        const jumpMs = timeOfDay - this.lastTimeOfDay - (awakeMs - this.lastAwakeMs);
        this.lastAwakeMs = awakeMs;
        this.lastTimeOfDay = timeOfDay;
        if (jumpMs >= MIN_JUMP_MS) this.handleJump(awakeMs, jumpMs);
        else if (awakeMs - this.lastBoot.at >= BOOT_CHECK_MS && this.isBootReliable !== false) this.checkBoot(awakeMs);
        return awakeMs + this.totalSuspendedMs;
    }

    awakeMs(): number {
        return this.sources.monotonic();
    }

    onWake(listener: (wake: Wake) => void): void {
        this.listeners.add(listener);
    }

    /** Treats a jump of the time of day as a suspension if the boot clock has jumped as well, and calls the listeners. */
    private handleJump(awakeMs: number, jumpMs: number): void {
        let suspendedMs = 0;
        if (this.isBootReliable === true) {
            const before = this.lastBoot;
            this.lastBoot = this.readBoot(awakeMs);
            const gainedMs = this.lastBoot.offset - before.offset;
            if (Math.abs(gainedMs - jumpMs) <= JUMP_TOLERANCE_MS) suspendedMs = gainedMs;
        }
        this.totalSuspendedMs += suspendedMs;
        for (const listener of this.listeners) listener({ suspendedMs, jumpMs });
    }

    private checkBoot(awakeMs: number): void {
        const before = this.lastBoot;
        this.lastBoot = this.readBoot(awakeMs);
        this.isBootReliable = Math.abs(this.lastBoot.offset - before.offset) < MAX_BOOT_DRIFT_MS;
    }

    private readBoot(awakeMs: number): { readonly offset: number; readonly at: number } {
        return { offset: this.sources.boot() - awakeMs, at: awakeMs };
    }
}
