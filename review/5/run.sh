#!/bin/sh
cd "$(dirname "$0")" && exec timeout -k 5 110 python3 case.py
