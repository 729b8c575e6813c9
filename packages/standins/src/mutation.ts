/**
 * A change that breaks one promise in the code, and the tests that must notice.
 *
 * @module
 */

/** One of them. */
export interface Mutation {
    readonly promise: string;
    readonly file: string;
    /** Stands in the file once. */
    readonly find: string;
    readonly replace: string;
    /** Of these one at least must fail. */
    readonly tests: readonly string[];
}
