export default {
    files: ["packages/*/test/**/*.test.ts", "platform/test/**/*.test.ts"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx", "--conditions=drumpaddle-source"],
    workerThreads: false,
    timeout: "60s",
};
