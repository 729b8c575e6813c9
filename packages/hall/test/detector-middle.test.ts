import { testSize } from "./fleet-tests.js";

testSize({ hosts: 200, halls: 5, seeds: 2 });
