import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "**/*.js", "**/*.cjs", "out/**", "target/**"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { project: "./tsconfig.json", tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/naming-convention": ["error", { selector: "typeLike", format: ["PascalCase"] }],
            "curly": ["error", "multi-line"],
            "eqeqeq": "error",
        },
    },
    {
        // It stands still while a host is suspended: decisions are given the clock that counts that time.
        files: ["packages/host/src/**/*.ts", "packages/protocol/src/**/*.ts", "packages/hall/src/**/*.ts"],
        ignores: ["packages/protocol/src/clock.ts"],
        rules: { "no-restricted-properties": ["error", { object: "performance", property: "now" }] },
    },
);
