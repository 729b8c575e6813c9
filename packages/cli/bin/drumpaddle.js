#!/usr/bin/env node
// The installed command. It is part of the repository, so that the package manager can link it before the build.
import "../dist/main.js";
