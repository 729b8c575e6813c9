import { testSize } from "./fleet-tests.js";

testSize({ hosts: 400, halls: 6, seeds: 1 });
