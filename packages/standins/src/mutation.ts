/**
 * A change to the source that breaks one guarantee, and the tests that must detect it.
 *
 * @module
 */

/** A replacement of a piece of source that must make a test fail. */
export interface Mutation {
    readonly promise: string;
    readonly file: string;
    /** Occurs exactly once in the file. */
    readonly find: string;
    readonly replace: string;
    /** Test files of which at least one must fail. */
    readonly tests: readonly string[];
}
