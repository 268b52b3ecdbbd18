#!/bin/sh
# Plays case 3 in the root of the repository and writes review/3/record.txt. TROUBLE=0: without the burst.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standins memory review/3/record.txt
