/**
 * Endpoints of three speeds while words of them get lost.
 */
import test from "ava";
import type { ShareMessage } from "../src/index.js";
import { seeded } from "./fleet.js";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

test("a third of the words of what hosts hold lost", t => {
    const random = seeded(7);
    const isWord = ({ kind }: ShareMessage): boolean => kind === "held" || kind === "others";
    const arrives = (_from: string, message: ShareMessage): ShareMessage | undefined =>
        isWord(message) && random() < 1 / 3 ? undefined : message;
    checkUneven(t, { ...UNEVEN, hosts: 16, runMs: 15_000, arrives }, [2, 3]);
});
