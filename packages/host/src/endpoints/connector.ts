/**
 * Connectors for undici whose sockets tell how they ended, which undici itself does not always pass on.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** The code by which undici knows a reset; the end of an answer without a length is one to it. */
const RESET_CODE = "ECONNRESET";
/** A code that is a failure to undici, whatever the answer. */
const FAILURE_CODE = "CONNECTION_RESET";

/**
 * Told before undici's own listeners how a socket ended: `failed` where its other side reset it, an error came, or this side
 * destroyed it with one.
 */
export type OnSocketEnd = (failed: boolean) => void;

/**
 * A connector that tells how its sockets end. Their resets break every answer that is not whole, also one whose end only
 * its connection tells.
 *
 * @example
 * ```ts
 * new Client(origin, { connect: noteEnds(buildConnector({}), failed => log(failed)) });
 * ```
 */
export function reportSocketEnds(connector: buildConnector.connector, onEnd: OnSocketEnd): buildConnector.connector {
    return (options, callback) =>
        connector(options, (...result) => {
            const [, socket] = result;
            socket?.prependListener("error", (err: NodeJS.ErrnoException) => {
                if (err.code === RESET_CODE) err.code = FAILURE_CODE;
                onEnd(true);
            });
            socket?.prependListener("end", () => onEnd(wasReset(socket)));
            callback(...result);
        });
}

/**
 * A connector whose sockets' resets break every answer that is not whole.
 *
 * @example
 * ```ts
 * new Agent({ connect: failOnReset(buildConnector({})) });
 * ```
 */
export function failOnReset(connector: buildConnector.connector): buildConnector.connector {
    return reportSocketEnds(connector, () => undefined);
}

/**
 * Whether a socket that ended was reset. Where a reset comes right behind data, Node tells of the end and of no error; but
 * the system knows no other side of a connection that was reset.
 */
function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
