#!/usr/bin/env node
/**
Entry point of `pollenarch`, the command line client for operators.
*/
import process from 'node:process';
import {createProgram} from './program.js';

await createProgram().parseAsync(process.argv);
