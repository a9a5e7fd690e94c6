#!/usr/bin/env node
// npm links a binary only if its file exists, which dist does not on install.
import "../dist/src/main.js";
