# Plots goodput over load with one line per router. Set the variables table and picture to the input and output files.
set terminal svg size 800,500 background "white"
set output picture
set xlabel "load (part of capacity)"
set ylabel "goodput (tokens/s of requests within both targets)"
set key outside right
set grid
plot for [column=2:8] table using 1:column with linespoints title columnheader(column)
