/**
 * Endpoints of three speeds and 60 hosts that ask owners. An owner combines the speed samples of all hosts, and places long streams
 * where they meet their objectives.
 */
import test from "ava";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

test("fewer long streams are late, and not more short requests", t => checkUneven(t, UNEVEN, [1]));
