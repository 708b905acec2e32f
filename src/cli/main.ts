#!/usr/bin/env node
/**
`pollenarch`: the operators' client. Human tables by default, `--json` for scripts.
*/
import process from 'node:process';
import {createProgram} from './program.js';

await createProgram().parseAsync(process.argv);
