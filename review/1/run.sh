#!/bin/sh
# Plays case 1 in the root of the repository and writes review/1/record.txt. TROUBLE=0: without the kills.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standins readers review/1/record.txt
