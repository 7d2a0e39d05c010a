#!/usr/bin/env node
/** Entry point of the router daemon: receives signals first, then loads the program. */
import { Signals } from '../adapters/Signals.js';

const signals = new Signals();
const { runRouter } = await import('./RouterProgram.js');
await runRouter(signals);
