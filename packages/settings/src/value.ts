/**
 * The types of setting values: how each is written in INI, parsed and checked.
 *
 * @module
 */

/** Why a value is invalid: what was found and what is allowed. */
export interface ValueError {
    readonly kind: "badValue";
    readonly found: string;
    readonly allowed: string;
}

/** A parsed value, or why it is invalid. */
export type ValueResult<T> = { readonly ok: true; readonly value: T } | {
    readonly ok: false;
    readonly err: ValueError;
};

/** A type of setting value. */
export interface ValueType<T> {
    /** Describes the valid values, for error messages and the reference of keys. */
    readonly allowed: string;
    /** Parses and checks a value as an operator wrote it. */
    readonly read: (rawValue: string) => ValueResult<T>;
}

const MS_PER_UNIT = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 } as const;
const COUNT_PER_SUFFIX = { "": 1, k: 1_000, M: 1_000_000 } as const;

function invalid(found: string, allowed: string): { readonly ok: false; readonly err: ValueError } {
    return { ok: false, err: { kind: "badValue", found, allowed } };
}

/**
 * A duration with a unit, parsed as milliseconds.
 *
 * @example
 * ```ts
 * duration(1, 60_000).read("2s"); // { ok: true, value: 2000 }
 * ```
 */
export function duration(min: number, max: number): ValueType<number> {
    const allowed = `a duration from ${min}ms to ${max}ms, with a unit: ms, s, m, h or d`;
    return {
        allowed,
        read: rawValue => {
            const match = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/.exec(rawValue);
            if (!match) return invalid(rawValue, allowed);
            const value = Number(match[1]) * MS_PER_UNIT[match[2] as keyof typeof MS_PER_UNIT];
            return value >= min && value <= max ? { ok: true, value } : invalid(rawValue, allowed);
        },
    };
}

/**
 * A whole number, with an optional suffix: `k` for thousands, `M` for millions.
 *
 * @example
 * ```ts
 * count(0, 10_000_000).read("250k"); // { ok: true, value: 250000 }
 * ```
 */
export function count(min: number, max: number): ValueType<number> {
    const allowed = `a whole number from ${min} to ${max}, k and M allowed`;
    return {
        allowed,
        read: rawValue => {
            const match = /^(\d+)(k|M)?$/.exec(rawValue);
            if (!match) return invalid(rawValue, allowed);
            const value = Number(match[1]) * COUNT_PER_SUFFIX[(match[2] ?? "") as keyof typeof COUNT_PER_SUFFIX];
            return value >= min && value <= max ? { ok: true, value } : invalid(rawValue, allowed);
        },
    };
}

/**
 * A decimal number between two bounds, without a unit.
 *
 * @example
 * ```ts
 * decimal(0, 1).read("0.95"); // { ok: true, value: 0.95 }
 * ```
 */
export function decimal(min: number, max: number): ValueType<number> {
    const allowed = `a number from ${min} to ${max}`;
    return {
        allowed,
        read: rawValue => {
            const value = Number(rawValue);
            const isDecimal = /^\d+(\.\d+)?$/.test(rawValue);
            return isDecimal && value >= min && value <= max ? { ok: true, value } : invalid(rawValue, allowed);
        },
    };
}

/** `true` or `false`. */
export const flag: ValueType<boolean> = {
    allowed: "true or false",
    read: rawValue =>
        rawValue === "true" || rawValue === "false"
            ? { ok: true, value: rawValue === "true" }
            : invalid(rawValue, "true or false"),
};

/**
 * Text that matches a pattern.
 *
 * @example
 * ```ts
 * text(/^[a-f0-9]{64}$/, "a SHA-256 in hexadecimal").read("x"); // { ok: false, ... }
 * ```
 */
export function text(pattern: RegExp, allowed: string): ValueType<string> {
    return {
        allowed,
        read: rawValue => pattern.test(rawValue) ? { ok: true, value: rawValue } : invalid(rawValue, allowed),
    };
}

/**
 * One of the given words.
 *
 * @example
 * ```ts
 * choice(["engine", "plain"]).read("engine"); // { ok: true, value: "engine" }
 * ```
 */
export function choice<const W extends readonly string[]>(words: W): ValueType<W[number]> {
    const allowed = `one of ${words.join(", ")}`;
    return {
        allowed,
        read: rawValue => words.includes(rawValue) ? { ok: true, value: rawValue } : invalid(rawValue, allowed),
    };
}

/**
 * A comma-separated list of items that match a pattern; empty text is the empty list.
 *
 * @example
 * ```ts
 * list(/^[a-z]+$/, "names").read("a, b"); // { ok: true, value: ["a", "b"] }
 * ```
 */
export function list(pattern: RegExp, itemsDescription: string): ValueType<readonly string[]> {
    const allowed = `a comma-separated list of ${itemsDescription}`;
    return {
        allowed,
        read: rawValue => {
            const items = rawValue.split(",").map(item => item.trim()).filter(item => item.length > 0);
            return items.every(item => pattern.test(item)) ? { ok: true, value: items } : invalid(rawValue, allowed);
        },
    };
}
