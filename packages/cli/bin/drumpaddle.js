#!/usr/bin/env node
// The installed command. It stands in the repository, so that the package manager can link it before anything is built.
import "../dist/main.js";
