#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and need nothing but the standard library.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins [1-5]
