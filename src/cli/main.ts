#!/usr/bin/env node
/**
Entry point of `pollenarch`, the command line client for operators.
*/
import process from 'node:process';
import {runProgram} from './program.js';

await runProgram(process.argv);
