# Goodput over time for the surge and for the slow service, today's policy against pass-through. Needs the variable `results`.
set terminal svg size 900,640 font "sans,12" background "white"
set output results."/goodput.svg"
set multiplot layout 2,1
set xlabel "time (s)"
set ylabel "complete requests / capacity"
set yrange [0:1.2]
set key bottom right
set grid
set title "Chain of 8: callers send 3 times the capacity from 30 s to 60 s"
set object 1 rectangle from 30,0 to 60,1.2 fillcolor rgb "#eeeeee" behind
plot results."/chain-8-surge-pass-through.dat" using 1:2 with lines lw 2 lc rgb "#c04040" title "pass-through, three tries per hop", \
     results."/chain-8-surge-today.dat" using 1:2 with lines lw 2 lc rgb "#2060a0" title "today's policy"
unset object 1
set title "Chain of 8: the deepest service is ten times slower from 30 s to 50 s"
set object 2 rectangle from 30,0 to 50,1.2 fillcolor rgb "#eeeeee" behind
plot results."/chain-8-slow-pass-through.dat" using 1:2 with lines lw 2 lc rgb "#c04040" title "pass-through, three tries per hop", \
     results."/chain-8-slow-today.dat" using 1:2 with lines lw 2 lc rgb "#2060a0" title "today's policy"
unset multiplot
