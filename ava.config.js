export default {
    files: ["packages/*/test/**/*.test.ts", "platform/test/**/*.test.ts"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx", "--conditions=drumpaddle-source"],
    workerThreads: false,
    // No test ends for this long: the fleets of 400 and 800 hosts compute for 90 s without a pause, as the last tests to run.
    timeout: "5m",
};
