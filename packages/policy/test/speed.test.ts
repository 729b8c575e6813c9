import test from "ava";
import fc from "fast-check";
import {
    addSpeedSample,
    comparePool,
    EMPTY_POOL,
    NO_PAUSES,
    NO_SPEED_SUMS,
    observePauses,
    observePool,
    observeSpeed,
    ownerSpeedOf,
    pauseChance,
    type Residual,
    residualOf,
    samplesFromSums,
    slownessOf,
    type SpeedEstimate,
    speedEstimateOf,
    type SpeedEvidence,
    speedFromOwner,
    type SpeedPool,
    type SpeedSample,
    speedSumsSince,
    UNKNOWN_SPEED,
} from "../src/index.js";

/** Gap and prefill time of the mean endpoint. */
const GAP_MS = 40;
const MS_PER_TOKEN = 0.15;
const BATCH = 6;
/** Standard deviation of samples on the logarithmic scale. */
const SCATTER = 0.25;

/** Seeded normal deviates (Box and Muller 1958). */
function normal(seed: number): () => number {
    let state = seed >>> 0;
    const uniform = (): number => {
        state = Math.imul(state ^ state >>> 15, 0x2c1b3c6d) + 0x9e3779b9 >>> 0;
        return (Math.imul(state ^ state >>> 12, 0x297a2d39) >>> 0) / 2 ** 32;
    };
    return () => Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
}

function stretch(slowness: number, deviate = 0): SpeedSample {
    const meanGapMs = GAP_MS * slowness * Math.exp(SCATTER * deviate);
    return { kind: "stretch", pieces: 16, meanGapMs, longestMs: 2 * meanGapMs };
}

function first(slowness: number, deviate = 0): SpeedSample {
    return { kind: "first", unread: 3_000, ms: 3_000 * MS_PER_TOKEN * slowness * Math.exp(SCATTER * deviate) };
}

function seen(value: number): Residual {
    return { value, weight: 16, deviation: 0 };
}

/** Endpoints whose speeds one owner estimates. */
class WatchedEndpoints {
    pool: SpeedPool = EMPTY_POOL;
    readonly speeds: SpeedEvidence[];

    constructor(readonly slowness: readonly number[]) {
        this.speeds = slowness.map(() => UNKNOWN_SPEED);
    }

    record(at: number, sample: SpeedSample, now: number, host = "a"): void {
        const speed = this.speeds[at]!;
        const residual = residualOf(this.pool, speed, BATCH, sample, now);
        this.pool = observePool(this.pool, speed, BATCH, sample, now);
        if (!residual) return;
        this.speeds[at] = observeSpeed(speed, residual, host, now);
    }

    /** Takes two samples per second of each endpoint, or one every `everyMs`. */
    sampleFor(forMs: number, random: () => number, from = 0, everyMs = 500): void {
        for (let now = from; now < from + forMs; now += everyMs) {
            for (const [at, slowness] of this.slowness.entries()) {
                const make = now % (2 * everyMs) === 0 ? first : stretch;
                this.record(at, make(slowness, random()), now + at);
            }
        }
        this.pool = comparePool(this.pool, this.estimates(from + forMs));
    }

    estimates(now: number): readonly SpeedEstimate[] {
        return this.speeds.map(speed => speedEstimateOf(speed, now));
    }

    /** Estimated slowness as a factor. */
    estimatedFactor(at: number, now: number): number {
        return Math.exp(slownessOf(this.pool, this.speeds[at]!, now).logRatio);
    }
}

const THREE_SPEEDS = Array.from({ length: 31 }, (_, at) => [1 / 0.6, 1, 1 / 1.6][at % 3]!);

test("endpoints of three speeds are told apart after three seconds of two samples each", t => {
    const watched = new WatchedEndpoints(THREE_SPEEDS);
    watched.sampleFor(3_000, normal(1));
    const known = THREE_SPEEDS.map((_, at) => watched.estimatedFactor(at, 3_000));
    const ofKind = (kind: number): readonly number[] => known.filter((_, at) => at % 3 === kind);
    t.true(Math.min(...ofKind(0)) > Math.max(...ofKind(2)), "no slow one passes for a fast one");
    // Halfway to the next speed an endpoint would count as one of that speed.
    const mean = (kind: number): number => ofKind(kind).reduce((sum, value) => sum + value, 0) / ofKind(kind).length;
    t.true(mean(0) / mean(1) > Math.sqrt(1 / 0.6));
    t.true(mean(1) / mean(2) > Math.sqrt(1.6));
});

test("equal endpoints count as equal, however samples scatter", t => {
    let uneven = 0;
    for (let seed = 1; seed <= 200; seed++) {
        const watched = new WatchedEndpoints(Array.from({ length: 31 }, () => 1));
        watched.sampleFor(6_000, normal(seed), 0, 1_000);
        if (watched.pool.variance > 0) uneven += 1;
        else t.true(watched.speeds.every(speed => slownessOf(watched.pool, speed, 6_000).logRatio === 0));
    }
    t.true(uneven <= 2, `${uneven} of 200`);
});

test("a new endpoint counts as the mean of its pool, and its speed is known within its first second", t => {
    const watched = new WatchedEndpoints([...THREE_SPEEDS, 1 / 0.6]);
    const random = normal(2);
    for (let now = 0; now < 5_000; now += 500) {
        for (const at of THREE_SPEEDS.keys()) watched.record(at, stretch(THREE_SPEEDS[at]!, random()), now + at);
    }
    watched.pool = comparePool(watched.pool, watched.estimates(5_000));
    const fresh = slownessOf(watched.pool, watched.speeds[31]!, 5_000);
    t.is(fresh.logRatio, 0);
    watched.record(31, first(1 / 0.6, random()), 5_400);
    watched.record(31, stretch(1 / 0.6, random()), 5_900);
    const known = slownessOf(watched.pool, watched.speeds[31]!, 6_000);
    t.true(known.deviation > 0 && known.deviation < fresh.deviation);
    t.true(known.logRatio > Math.log(1 / 0.6) / 2, String(known.logRatio));
});

test("samples within one window count as one", t => {
    const residual = { value: 0.5, weight: 16, deviation: 0.5 };
    const one = observeSpeed(UNKNOWN_SPEED, residual, "a", 0);
    let many = one;
    for (let now = 10; now < 500; now += 10) many = observeSpeed(many, residual, `host ${now % 4}`, now);
    t.is(speedEstimateOf(many, 500).mean, 0.5);
    t.true(speedEstimateOf(many, 500).weight <= 16);
    const later = observeSpeed(one, residual, "a", 1_000);
    t.true(speedEstimateOf(later, 1_000).weight > 24);
});

test("old samples weigh little against new ones", t => {
    let speed = UNKNOWN_SPEED;
    for (let now = 0; now < 10_000; now += 1_000) speed = observeSpeed(speed, seen(1), "a", now);
    for (let now = 600_000; now < 603_000; now += 1_000) speed = observeSpeed(speed, seen(-1), "a", now);
    t.true(speedEstimateOf(speed, 603_000).mean < -0.7);
});

test("a short spell of slowness does not count as lasting", t => {
    const watched = new WatchedEndpoints(THREE_SPEEDS);
    watched.sampleFor(10_000, normal(3));
    const before = watched.estimatedFactor(1, 10_000);
    // Spells last about this long, and an endpoint has one every few seconds.
    for (let now = 10_000; now < 10_600; now += 100) watched.record(1, stretch(2.5), now);
    t.true(watched.estimatedFactor(1, 10_600) / before < 1.25, "halfway to the next speed");
});

test("an endpoint that has become permanently slower is recognized", t => {
    const slowness = [...THREE_SPEEDS];
    const watched = new WatchedEndpoints(slowness);
    const random = normal(5);
    watched.sampleFor(30_000, random);
    slowness[2] = 1 / 0.6;
    watched.sampleFor(60_000, random, 30_000);
    t.true(watched.estimatedFactor(2, 90_000) > watched.estimatedFactor(1, 90_000));
});

test("outliers from one host do not move an endpoint to another speed", t => {
    for (const factor of [1e6, 1e-6, Infinity, -1, NaN]) {
        const watched = new WatchedEndpoints(THREE_SPEEDS);
        const random = normal(4);
        for (let now = 0; now < 10_000; now += 250) {
            for (const [at, slowness] of THREE_SPEEDS.entries()) {
                watched.record(at, stretch(slowness, random()), now + at, `host ${now % 1_000}`);
            }
            if (now > 2_000) watched.record(1, stretch(factor), now + 100, "liar");
        }
        watched.pool = comparePool(watched.pool, watched.estimates(10_000));
        const known = Math.log(watched.estimatedFactor(1, 10_000));
        // Two neighbouring speeds differ by half a natural logarithm.
        t.true(Math.abs(known) < 0.25, `${factor}: ${known}`);
        t.true(watched.estimatedFactor(0, 10_000) > watched.estimatedFactor(2, 10_000) * 1.6);
    }
});

test("an owner's speed estimate survives the transfer and is bounded", t => {
    let speed = UNKNOWN_SPEED;
    t.is(ownerSpeedOf(speed, 0), undefined);
    for (let now = 0; now < 5_000; now += 1_000) speed = observeSpeed(speed, seen(0.5), "a", now);
    const taken = speedFromOwner(ownerSpeedOf(speed, 6_000)!, 100_000);
    const [own, told] = [speedEstimateOf(speed, 6_000), speedEstimateOf(taken, 100_000)];
    t.true(Math.abs(own.mean - told.mean) < 1e-9 && Math.abs(own.weight - told.weight) < 1e-9);
    const wild = speedEstimateOf(speedFromOwner({ value: 1e9, weight: 1e12, ageMs: 0 }, 0), 0);
    t.true(wild.mean < 4 && wild.weight <= 10_000);
});

test("only new samples are sent, as one of each kind", t => {
    const told = addSpeedSample(addSpeedSample(NO_SPEED_SUMS, first(1)), stretch(1));
    t.is(speedSumsSince(told, told), undefined);
    const next = addSpeedSample(addSpeedSample(told, stretch(2)), stretch(4));
    const since = speedSumsSince(next, told)!;
    t.is(since.firsts, 0);
    t.is(since.stretches, 2);
    const [sample, ...more] = samplesFromSums(since);
    t.deepEqual(more, []);
    t.deepEqual(sample, { kind: "stretch", pieces: 16, meanGapMs: 3 * GAP_MS, longestMs: 6 * GAP_MS });
    const [claimed] = samplesFromSums({ ...since, pieces: 1e9 });
    t.true(claimed?.kind === "stretch" && claimed.pieces <= 64);
    // The sums of an endpoint that was declared anew start again from zero.
    t.is(speedSumsSince(addSpeedSample(NO_SPEED_SUMS, first(1)), next)?.firsts, 1);
});

test("the chance of a pause matches the samples, and never falls for longer streams or tighter targets", t => {
    let table = NO_PAUSES;
    t.is(pauseChance(table, 1, 1_000), 0);
    for (let at = 0; at < 400; at++) table = observePauses(table, 16, at % 8 === 0 ? 4.1 : 2.1);
    const seen = pauseChance(table, 4, 16);
    t.true(Math.abs(seen - 1 / 8) < 0.03, String(seen));
    t.is(pauseChance(table, 8, 16), 0);
    const ratio = fc.double({ min: 0, max: 100, noNaN: true });
    const pieces = fc.double({ min: 0, max: 1_000, noNaN: true });
    fc.assert(fc.property(ratio, ratio, pieces, pieces, (a, b, few, many) => {
        const [near, far] = [Math.min(a, b), Math.max(a, b)];
        const [short, long] = [Math.min(few, many), Math.max(few, many)];
        const chance = pauseChance(table, near, long);
        return chance >= 0 && chance <= 1
            && chance + 1e-12 >= pauseChance(table, far, long)
            && chance + 1e-12 >= pauseChance(table, near, short);
    }));
});
