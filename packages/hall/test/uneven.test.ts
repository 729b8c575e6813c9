/**
 * Endpoints of three speeds before 60 hosts that ask an owner: it joins what all their streams show, and sends long streams where
 * they are in time.
 */
import test from "ava";
import { UNEVEN } from "./loads.js";
import { checkUneven } from "./uneven-tests.js";

test("fewer long streams are late, and short requests do not pay for it", t => checkUneven(t, UNEVEN, [1]));
