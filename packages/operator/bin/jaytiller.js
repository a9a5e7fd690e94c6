#!/usr/bin/env node
// npm links a binary only if its file exists, and dist is built after install.
import "../dist/src/main.js";
